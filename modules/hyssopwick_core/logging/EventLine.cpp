#include "EventLine.h"

namespace hyssopwick {

namespace {

    bool needsQuotes(const std::string& value)
    {
        if (value.empty())
            return true;
        for (const char character : value) {
            if (static_cast<unsigned char>(character) <= ' ' || character == '"' || character == '=' || character == '\\')
                return true;
        }
        return false;
    }

    void appendQuoted(std::string& line, const std::string& value)
    {
        line += '"';
        for (const char character : value) {
            if (character == '\n')
                line += "\\n";
            else if (character == '\r')
                line += "\\r";
            else if (character == '"' || character == '\\')
                (line += '\\') += character;
            else
                line += character;
        }
        line += '"';
    }

    char unescaped(char character)
    {
        if (character == 'n')
            return '\n';
        if (character == 'r')
            return '\r';
        return character;
    }

    auto lineError(std::size_t column, const char* what)
    {
        return failure(ErrorCode::InvalidInput, "column " + std::to_string(column + 1) + ": " + what);
    }

}

std::string formatEventLine(const EventFields& fields)
{
    std::string line;
    for (const auto& [key, value] : fields) {
        if (!line.empty())
            line += ' ';
        line += key;
        line += '=';
        if (needsQuotes(value))
            appendQuoted(line, value);
        else
            line += value;
    }
    return line;
}

Outcome<std::map<std::string, std::string>> parseEventLine(std::string_view line)
{
    std::map<std::string, std::string> fields;
    std::size_t position = 0;
    while (position < line.size()) {
        if (line[position] == ' ') {
            ++position;
            continue;
        }
        const auto equals = line.find('=', position);
        if (equals == std::string_view::npos || equals == position)
            return lineError(position, "expected key=value");
        const std::string key(line.substr(position, equals - position));
        if (key.find_first_of(" \"\\") != std::string::npos)
            return lineError(position, "key contains a space or quote");
        position = equals + 1;
        std::string value;
        if (position < line.size() && line[position] == '"') {
            ++position;
            while (position < line.size() && line[position] != '"') {
                if (line[position] == '\\' && position + 1 < line.size())
                    value += unescaped(line[++position]);
                else
                    value += line[position];
                ++position;
            }
            if (position >= line.size())
                return lineError(position, "quoted value is not closed");
            ++position;
        } else {
            const auto end = std::min(line.find(' ', position), line.size());
            value = line.substr(position, end - position);
            position = end;
        }
        if (!fields.emplace(key, std::move(value)).second)
            return lineError(equals, "key appears twice");
    }
    if (fields.empty())
        return lineError(0, "line has no fields");
    return fields;
}

}
