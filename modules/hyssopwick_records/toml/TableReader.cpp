#include "TableReader.h"

#include <algorithm>
#include <set>

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

namespace hyssopwick {

struct TableReader::State {
    State(std::string fileName, Findings& list)
        : file(std::move(fileName))
        , findings(list)
    {
    }

    std::string file;
    Findings& findings;
    toml::table table;
    std::set<std::string> requestedKeys;
    bool hasSyntaxError = false;

    void addFinding(const toml::source_region& location, const std::string& message)
    {
        findings.push_back({ file, static_cast<unsigned>(location.begin.line), static_cast<unsigned>(location.begin.column), message });
    }

    const toml::node* find(const std::string& key)
    {
        requestedKeys.insert(key);
        return table.get(key);
    }

    const toml::node* require(const std::string& key)
    {
        const auto* node = find(key);
        if (!node && !hasSyntaxError)
            findings.push_back({ file, 1, 1, "key \"" + key + "\" is missing" });
        return node;
    }

    std::string readText(const std::string& key, const toml::node* node, const std::string& fallback)
    {
        if (!node)
            return fallback;
        const auto value = node->value_exact<std::string>();
        if (!value) {
            addFinding(node->source(), "key \"" + key + "\" must be a string");
            return fallback;
        }
        if (value->empty())
            addFinding(node->source(), "key \"" + key + "\" must not be empty");
        return *value;
    }

    std::string readChoice(const std::string& key, const toml::node* node, const std::vector<std::string>& allowed, const std::string& fallback)
    {
        const auto value = readText(key, node, fallback);
        if (!node || std::find(allowed.begin(), allowed.end(), value) != allowed.end())
            return value;
        std::string list;
        for (const auto& item : allowed)
            list += (list.empty() ? "\"" : ", \"") + item + "\"";
        addFinding(node->source(), "key \"" + key + "\" is \"" + value + "\" but must be one of " + list);
        return fallback;
    }

    std::int64_t readNumber(const std::string& key, const toml::node* node, std::int64_t minimum, std::int64_t maximum, std::int64_t fallback)
    {
        if (!node)
            return fallback;
        const auto value = node->value_exact<std::int64_t>();
        if (!value) {
            addFinding(node->source(), "key \"" + key + "\" must be a whole number");
            return fallback;
        }
        if (*value >= minimum && *value <= maximum)
            return *value;
        addFinding(node->source(), "key \"" + key + "\" is " + std::to_string(*value) + " but must be in " + std::to_string(minimum) + ".." + std::to_string(maximum));
        return fallback;
    }
};

TableReader::TableReader(const std::string& text, std::string file, Findings& findings)
    : m_state(std::make_unique<State>(std::move(file), findings))
{
    auto result = toml::parse(text, m_state->file);
    if (result) {
        m_state->table = std::move(result).table();
        return;
    }
    m_state->hasSyntaxError = true;
    m_state->addFinding(result.error().source(), std::string(result.error().description()));
}

TableReader::~TableReader() = default;

std::string TableReader::text(const std::string& key) { return m_state->readText(key, m_state->require(key), ""); }

std::string TableReader::text(const std::string& key, const std::string& fallback)
{
    return m_state->readText(key, m_state->find(key), fallback);
}

std::string TableReader::choice(const std::string& key, const std::vector<std::string>& allowed)
{
    return m_state->readChoice(key, m_state->require(key), allowed, allowed.front());
}

std::string TableReader::choice(const std::string& key, const std::vector<std::string>& allowed, const std::string& fallback)
{
    return m_state->readChoice(key, m_state->find(key), allowed, fallback);
}

std::int64_t TableReader::number(const std::string& key, std::int64_t minimum, std::int64_t maximum)
{
    return m_state->readNumber(key, m_state->require(key), minimum, maximum, minimum);
}

std::int64_t TableReader::number(const std::string& key, std::int64_t minimum, std::int64_t maximum, std::int64_t fallback)
{
    return m_state->readNumber(key, m_state->find(key), minimum, maximum, fallback);
}

bool TableReader::flag(const std::string& key, bool fallback)
{
    const auto* node = m_state->find(key);
    if (!node)
        return fallback;
    const auto value = node->value_exact<bool>();
    if (!value)
        m_state->addFinding(node->source(), "key \"" + key + "\" must be true or false");
    return value.value_or(fallback);
}

std::vector<std::string> TableReader::texts(const std::string& key)
{
    std::vector<std::string> values;
    const auto* node = m_state->find(key);
    if (!node)
        return values;
    const auto* array = node->as_array();
    if (!array) {
        m_state->addFinding(node->source(), "key \"" + key + "\" must be a list of strings");
        return values;
    }
    for (const auto& item : *array) {
        const auto value = item.value_exact<std::string>();
        if (value && !value->empty())
            values.push_back(*value);
        else
            m_state->addFinding(item.source(), "key \"" + key + "\" must hold only strings that are not empty");
    }
    return values;
}

Digest TableReader::digest(const std::string& key)
{
    const auto* node = m_state->require(key);
    if (!node)
        return {};
    const auto digest = Digest::fromHex(m_state->readText(key, node, ""));
    if (digest.isEmpty())
        m_state->addFinding(node->source(), "key \"" + key + "\" must be a SHA-256 digest of 64 lower-case hexadecimal digits");
    return digest;
}

bool TableReader::has(const std::string& key) const { return m_state->table.contains(key); }

void TableReader::report(const std::string& key, const std::string& message)
{
    const auto* node = m_state->table.get(key);
    if (node)
        m_state->addFinding(node->source(), message);
    else if (!m_state->hasSyntaxError)
        m_state->findings.push_back({ m_state->file, 1, 1, message });
}

void TableReader::reportUnknownKeys()
{
    for (const auto& [key, node] : m_state->table) {
        if (m_state->requestedKeys.count(std::string(key.str())) == 0)
            m_state->addFinding(key.source(), "key \"" + std::string(key.str()) + "\" is not known");
    }
}

}
