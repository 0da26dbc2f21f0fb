#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hyssopwick::soak {

using Fields = std::vector<std::pair<std::string, std::string>>;

/// A request or a response.
struct HttpMessage {
    std::string startLine;
    Fields fields;
    std::string body;

    std::string field(std::string_view name) const;
    std::string method() const { return startLine.substr(0, startLine.find(' ')); }
    std::string target() const;
    std::string path() const;
    std::string parameter(const std::string& name) const;
    unsigned status() const;
    bool closesConnection() const { return field("Connection") == "close"; }
};

std::string requestText(const std::string& method, const std::string& target, const Fields& fields, const std::string& body);
std::string responseText(unsigned status, const Fields& fields, const std::string& body);
std::string chunkText(std::string_view bytes);

/// Reads messages of one direction of a connection as their bytes arrive.
class MessageReader {
public:
    enum class Kind {
        Request,
        Response
    };

    explicit MessageReader(Kind kind)
        : m_kind(kind)
    {
    }

    /// Returns false if the bytes are no message.
    bool feed(std::string_view bytes);

    /// Completes a response that ends with its connection; returns whether there is one.
    bool endConnection();

    bool hasBytes() const { return m_hasHead || !m_buffer.empty(); }
    bool hasHead() const { return m_hasHead; }
    bool isComplete() const { return m_isComplete; }
    const HttpMessage& message() const { return m_message; }

    /// Begins the next message with the bytes that followed the last one.
    bool next();

private:
    enum class Framing {
        None,
        Length,
        Chunked,
        Connection
    };

    bool parse();
    bool parseHead();
    bool parseChunks();
    void chooseFraming();

    Kind m_kind;
    std::string m_buffer;
    HttpMessage m_message;
    Framing m_framing = Framing::None;
    std::size_t m_bytesLeft = 0;
    bool m_isInChunk = false;
    bool m_hasHead = false;
    bool m_isComplete = false;
};

}
