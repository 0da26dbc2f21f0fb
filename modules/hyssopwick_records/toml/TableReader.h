#pragma once

#include <hyssopwick_core.h>

#include <memory>

namespace hyssopwick {

/// Reads a TOML table key by key and collects findings with their locations: missing
/// keys, wrong types, values out of range, and unknown keys.
class TableReader {
public:
    /// Parses TOML text. A syntax error becomes a finding and an empty table.
    /// \param file  name used in findings
    TableReader(const std::string& text, std::string file, Findings& findings);
    ~TableReader();

    /// Returns a required string; reports a finding when absent, empty or of another type.
    std::string text(const std::string& key);

    /// Returns an optional string.
    std::string text(const std::string& key, const std::string& fallback);

    /// Returns a required string, which must be one of \p allowed.
    std::string choice(const std::string& key, const std::vector<std::string>& allowed);

    /// Returns an optional string, which must be one of \p allowed.
    std::string choice(const std::string& key, const std::vector<std::string>& allowed, const std::string& fallback);

    /// Returns a required integer in [\p minimum, \p maximum].
    std::int64_t number(const std::string& key, std::int64_t minimum, std::int64_t maximum);

    /// Returns an optional integer in [\p minimum, \p maximum].
    std::int64_t number(const std::string& key, std::int64_t minimum, std::int64_t maximum, std::int64_t fallback);

    /// Returns an optional boolean.
    bool flag(const std::string& key, bool fallback);

    /// Returns an optional list of strings.
    std::vector<std::string> texts(const std::string& key);

    /// Returns a required SHA-256 digest.
    Digest digest(const std::string& key);

    bool has(const std::string& key) const;

    /// Reports a finding at the location of \p key, or of the table when the key is absent.
    void report(const std::string& key, const std::string& message);

    /// Reports every key that was not read.
    void reportUnknownKeys();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}
