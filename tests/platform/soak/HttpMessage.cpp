#include "HttpMessage.h"

#include <charconv>
#include <strings.h>

namespace hyssopwick::soak {

namespace {
    constexpr std::string_view lineEnd = "\r\n";
    constexpr std::string_view headEnd = "\r\n\r\n";

    const char* reasonOf(unsigned status) { return status < 400 ? "OK" : "Failed"; }

    std::string fieldsText(const Fields& fields)
    {
        std::string text;
        for (const auto& [name, value] : fields)
            text += name + ": " + value + "\r\n";
        return text;
    }
}

std::string HttpMessage::field(std::string_view name) const
{
    for (const auto& [key, value] : fields) {
        if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0)
            return value;
    }
    return {};
}

std::string HttpMessage::target() const
{
    const auto begin = startLine.find(' ') + 1;
    return startLine.substr(begin, startLine.find(' ', begin) - begin);
}

std::string HttpMessage::path() const
{
    const auto whole = target();
    return whole.substr(0, whole.find('?'));
}

std::string HttpMessage::parameter(const std::string& name) const
{
    const auto whole = target();
    for (auto at = whole.find('?'); at != std::string::npos; at = whole.find('&', at + 1)) {
        if (whole.compare(at + 1, name.size() + 1, name + "=") != 0)
            continue;
        const auto begin = at + name.size() + 2;
        return whole.substr(begin, whole.find('&', begin) - begin);
    }
    return {};
}

unsigned HttpMessage::status() const
{
    constexpr std::size_t statusAt = 9; // after "HTTP/1.1 "
    unsigned value = 0;
    if (startLine.size() >= statusAt + 3)
        std::from_chars(startLine.data() + statusAt, startLine.data() + statusAt + 3, value);
    return value;
}

std::string requestText(const std::string& method, const std::string& target, const Fields& fields, const std::string& body)
{
    auto text = method + " " + target + " HTTP/1.1\r\n" + fieldsText(fields);
    if (!body.empty() || method == "POST")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

std::string responseText(unsigned status, const Fields& fields, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " " + reasonOf(status) + "\r\n" + fieldsText(fields) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string chunkText(std::string_view bytes)
{
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + std::string(bytes) + "\r\n";
}

bool MessageReader::feed(std::string_view bytes)
{
    m_buffer.append(bytes);
    return m_isComplete || parse();
}

bool MessageReader::endConnection()
{
    m_isComplete = m_isComplete || (m_hasHead && m_framing == Framing::Connection);
    return m_isComplete;
}

bool MessageReader::next()
{
    m_message = {};
    m_hasHead = m_isComplete = m_isInChunk = false;
    return parse();
}

bool MessageReader::parse()
{
    if (!m_hasHead && !parseHead())
        return false;
    if (!m_hasHead)
        return true;
    switch (m_framing) {
    case Framing::None:
        m_isComplete = true;
        return true;
    case Framing::Connection:
        m_message.body += std::exchange(m_buffer, {});
        return true;
    case Framing::Chunked:
        return parseChunks();
    case Framing::Length:
        break;
    }
    const auto size = std::min(m_bytesLeft, m_buffer.size());
    m_message.body.append(m_buffer, 0, size);
    m_buffer.erase(0, size);
    m_bytesLeft -= size;
    m_isComplete = m_bytesLeft == 0;
    return true;
}

bool MessageReader::parseHead()
{
    const auto end = m_buffer.find(headEnd);
    if (end == std::string::npos)
        return true;
    std::size_t at = m_buffer.find(lineEnd);
    m_message.startLine = m_buffer.substr(0, at);
    while (at < end) {
        at += lineEnd.size();
        const auto stop = m_buffer.find(lineEnd, at);
        const auto colon = m_buffer.find(':', at);
        if (colon >= stop)
            return false;
        auto value = m_buffer.find_first_not_of(' ', colon + 1);
        m_message.fields.emplace_back(m_buffer.substr(at, colon - at), m_buffer.substr(value, stop - value));
        at = stop;
    }
    m_buffer.erase(0, end + headEnd.size());
    m_hasHead = true;
    chooseFraming();
    return m_message.startLine.find("HTTP/1.1") != std::string::npos;
}

void MessageReader::chooseFraming()
{
    const auto length = m_message.field("Content-Length");
    m_bytesLeft = 0;
    if (m_message.field("Transfer-Encoding") == "chunked") {
        m_framing = Framing::Chunked;
    } else if (!length.empty()) {
        m_framing = Framing::Length;
        m_bytesLeft = std::stoul(length);
    } else {
        m_framing = m_kind == Kind::Request ? Framing::None : Framing::Connection;
    }
}

bool MessageReader::parseChunks()
{
    for (;;) {
        if (!m_isInChunk) {
            const auto end = m_buffer.find(lineEnd);
            if (end == std::string::npos)
                return true;
            const auto result = std::from_chars(m_buffer.data(), m_buffer.data() + end, m_bytesLeft, 16);
            if (result.ec != std::errc())
                return false;
            m_buffer.erase(0, end + lineEnd.size());
            m_isInChunk = true;
        }
        // An event counts as received when all of its chunk has arrived.
        if (m_buffer.size() < m_bytesLeft + lineEnd.size())
            return true;
        m_message.body.append(m_buffer, 0, m_bytesLeft);
        m_buffer.erase(0, m_bytesLeft + lineEnd.size());
        m_isInChunk = false;
        m_isComplete = m_bytesLeft == 0;
        if (m_isComplete)
            return true;
    }
}

}
