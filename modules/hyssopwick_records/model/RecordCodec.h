#pragma once

#include "Record.h"

#include <nlohmann/json_fwd.hpp>
#include <optional>

namespace hyssopwick {

/// Newest schema version of records that this program supports. Version 1 files are
/// converted to version 2 records; docs/RECORDS.md gives the difference.
constexpr std::int64_t newestRecordSchema = 2;

/// Parses one record file.
/// \param text      TOML text
/// \param file      name used in findings
/// \param findings  receives all problems; the record is absent if there are any
std::optional<Record> parseRecord(const std::string& text, const std::string& file, Findings& findings);

/// Returns the record as canonical JSON: equal records give equal text.
nlohmann::json recordToJson(const Record& record);

/// Parses recordToJson() output. Fails with ErrorCode::InvalidInput.
Outcome<Record> recordFromJson(const nlohmann::json& json);

}
