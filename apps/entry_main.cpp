#include <hyssopwick_node.h>

int main(int argc, char** argv)
{
    const hyssopwick::DaemonOptions options { "hyssopwick-entry", "serves callers on an entry VM", hyssopwick::parseEntrySettings };
    return hyssopwick::runDaemon<hyssopwick::EntryNode>(options, argc, argv);
}
