// Module: hyssopwick_membership
// Dependencies: hyssopwick_core, hyssopwick_records, nlohmann-json
// Purpose: what the processes agree on without a coordination service of their own: which
// VMs are live, which configuration is newest, and who holds a lease. All decisions are pure.
#pragma once

#include "configuration/ConfigurationDecision.h"
#include "leases/LeaseDecision.h"
#include "members/EntryStatusTable.h"
#include "members/MemberTable.h"
#include "members/MemberUpdate.h"
#include "members/ProbeDecision.h"
