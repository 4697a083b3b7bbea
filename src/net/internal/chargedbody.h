#pragma once

#include "base/memorybudget.h"
#include "http/http.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <algorithm>
#include <bit>
#include <cstdint>
#include <string>
#include <string_view>

namespace vanillatack {

/// Body type of Beast's parsers. Charges the memory of a body before it takes it: at once if the length is known,
/// otherwise as the body grows. A body for which there is no room ends the parser with http::error::buffer_overflow.
struct ChargedBody {
    // Beast requires the names of the two types.
    struct value_type { // NOLINT(readability-identifier-naming)
        std::string bytes;
        MemoryCharge charge;
        std::size_t maxBytes = 0; ///< Limit of the body, beyond which its buffer is not grown ahead.
    };

    class reader // NOLINT(readability-identifier-naming)
    {
    public:
        template<bool isRequest, class Fields>
        reader(boost::beast::http::header<isRequest, Fields> & /*header*/, value_type &body)
            : m_body(body)
        {
        }

        void init(const boost::optional<std::uint64_t> &length, boost::system::error_code &error)
        {
            error = {};
            if (length) {
                grow(static_cast<std::size_t>(*length), error);
            }
        }

        template<class Buffers>
        std::size_t put(const Buffers &buffers, boost::system::error_code &error)
        {
            error = {};
            const std::size_t received = boost::asio::buffer_size(buffers);
            const std::size_t size = m_body.bytes.size() + received;
            if (size > m_body.bytes.capacity()) {
                grow(std::max(size, std::min(std::bit_ceil(size), m_body.maxBytes)), error);
                if (error) {
                    return 0;
                }
            }
            for (auto part = boost::asio::buffer_sequence_begin(buffers);
                 part != boost::asio::buffer_sequence_end(buffers);
                 ++part) {
                m_body.bytes.append(static_cast<const char *>(part->data()), part->size());
            }
            return received;
        }

        void finish(boost::system::error_code &error)
        {
            error = {};
        }

    private:
        void grow(std::size_t capacity, boost::system::error_code &error)
        {
            // Both copies are in memory while the bytes are moved.
            const std::size_t before = m_body.bytes.empty() ? 0 : m_body.bytes.capacity();
            if (!m_body.charge.tryResize(before + capacity)) {
                error = boost::beast::http::error::buffer_overflow;
                return;
            }
            m_body.bytes.reserve(capacity);
            m_body.charge.resize(m_body.bytes.capacity());
        }

        value_type &m_body;
    };
};

/// Memory of a message's head while it is parsed. Beast stores each field as it is received.
class HeadMemory
{
public:
    void addParsed(std::string_view bytes)
    {
        m_bytes +=
            bytes.size() + HeaderOverheadBytes * static_cast<std::size_t>(std::count(bytes.begin(), bytes.end(), '\n'));
    }

    template<class Header>
    void setComplete(const Header &header)
    {
        m_bytes = memoryOfFields(header);
    }

    /// Memory in bytes of the fields of a complete head.
    template<class Header>
    static std::size_t memoryOfFields(const Header &header)
    {
        std::size_t bytes = 0;
        for (const auto &field : header) {
            bytes += HeaderOverheadBytes + field.name_string().size() + field.value().size();
        }
        return bytes;
    }

    [[nodiscard]] std::size_t bytes() const
    {
        return m_bytes;
    }

private:
    std::size_t m_bytes = 0;
};

/// Gives received bytes to the parser of a message, and records the memory of its head. Returns the number of bytes
/// that the parser has taken.
template<class Parser>
std::size_t parseBytes(Parser &parser, std::string_view bytes, HeadMemory &head, boost::system::error_code &error)
{
    const bool inHead = !parser.is_header_done();
    const std::size_t used = parser.put(boost::asio::buffer(bytes.data(), bytes.size()), error);
    if (inHead && parser.is_header_done()) {
        head.setComplete(parser.get());
    } else if (inHead) {
        head.addParsed(bytes.substr(0, used));
    }
    return used;
}

/// Charges the body of a message whose head is complete, if its length is known and not charged yet. Returns false if
/// there is no room for it.
template<class Parser>
bool reserveKnownBody(Parser &parser)
{
    const auto length = parser.content_length();
    MemoryCharge &charge = parser.get().body().charge;
    return !length || charge.bytes() > 0 || charge.tryResize(static_cast<std::size_t>(*length));
}

} // namespace vanillatack
