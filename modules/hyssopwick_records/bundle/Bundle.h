#pragma once

#include "../model/Record.h"

#include <map>

namespace hyssopwick {

/// All records of one configuration. Immutable and identified by its digest.
class Bundle {
public:
    /// Creates the empty bundle.
    Bundle();

    /// Creates a bundle of \p records; later records replace earlier ones of the same key.
    explicit Bundle(const std::vector<Record>& records);

    /// Parses text() of another bundle. Fails with ErrorCode::InvalidInput, also
    /// for a schema newer than this program supports.
    static Outcome<Bundle> parse(const std::string& text);

    /// Returns the canonical serialised form.
    const std::string& text() const { return m_text; }

    /// Returns the digest of text().
    const Digest& digest() const { return m_digest; }

    /// Returns the records by "kind/name".
    const std::map<std::string, Record>& records() const { return m_records; }

    /// Returns the records of one type, ordered by name.
    template <typename T>
    std::vector<T> all() const
    {
        std::vector<T> found;
        for (const auto& [key, record] : m_records) {
            if (const auto* value = std::get_if<T>(&record))
                found.push_back(*value);
        }
        return found;
    }

    /// Returns the placement of \p name, or nullptr.
    const PlacementRecord* placement(const std::string& name) const;

    /// Returns the service of \p name, or nullptr.
    const ServiceRecord* service(const std::string& name) const;

    /// Returns the account of \p name, or nullptr.
    const AccountRecord* account(const std::string& name) const;

    /// Returns whether a record orders \p vm to leave.
    bool isLeaving(const std::string& vm) const;

    /// Checks the relations between records: the base of an adapter must have a placement,
    /// not be an adapter itself, and have the same worker kind.
    Findings crossCheck() const;

    bool operator==(const Bundle& other) const { return m_digest == other.m_digest; }
    bool operator!=(const Bundle& other) const { return m_digest != other.m_digest; }

private:
    void serialise();

    std::map<std::string, Record> m_records;
    std::string m_text;
    Digest m_digest;
};

/// Describes the difference from \p from to \p to, one line per record, each
/// starting with "+ ", "- " or "~ ".
std::vector<std::string> describeDifference(const Bundle& from, const Bundle& to);

}
