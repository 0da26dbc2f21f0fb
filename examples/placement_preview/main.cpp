// Example of using the libraries without a daemon: reads records and a list of VMs and
// prints which VMs would serve each placement.
//
//   placement-preview examples/caroni/records examples/caroni/vms.txt

#include <fstream>
#include <hyssopwick_distribution.h>
#include <iostream>

int main(int argc, char** argv)
{
    using namespace hyssopwick;
    if (argc != 3) {
        std::cerr << "usage: placement-preview RECORDS VMS\n";
        return 2;
    }
    Findings findings;
    const auto bundle = readRecordDirectory(argv[1], findings);
    for (const auto& finding : findings)
        std::cerr << finding.text() << "\n";
    if (!findings.empty())
        return 1;
    std::vector<PlacementCandidate> candidates;
    std::ifstream in(argv[2]);
    VmIdentity vm;
    while (in >> vm.id >> vm.address >> vm.region >> vm.failureDomain >> vm.kind)
        candidates.push_back({ vm, bundle.isLeaving(vm.id) });
    for (const auto& placement : bundle.all<PlacementRecord>()) {
        std::cout << placement.name << " " << placement.version << ":";
        for (const auto& id : chooseReplicas(bundle, placement, candidates))
            std::cout << " " << id;
        std::cout << "\n";
    }
    return 0;
}
