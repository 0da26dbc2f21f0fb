// Module: hyssopwick_records
// Dependencies: hyssopwick_core, toml++, nlohmann-json
// Purpose: the operators' records (placements, services, client accounts, VM
// states), their validation and schema versions, the immutable bundle that is
// accepted as one revision, and the settings files of the daemons.
#pragma once

#include "bundle/Bundle.h"
#include "bundle/BundleDelta.h"
#include "bundle/Head.h"
#include "bundle/RecordDirectory.h"
#include "model/Record.h"
#include "model/RecordCodec.h"
#include "settings/ProcessSettings.h"
#include "toml/TableReader.h"
