#include <hyssopwick_node.h>

int main(int argc, char** argv)
{
    const hyssopwick::DaemonOptions options { "hyssopwick-agent", "fetches and shares weights on an upstream VM and proxies calls to its engine or service", hyssopwick::parseAgentSettings };
    return hyssopwick::runDaemon<hyssopwick::AgentNode>(options, argc, argv);
}
