#include "WatchStream.h"

#include <array>
#include <memory>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "EtcdCodec.h"

namespace stairspur::store {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using transport::Task;

static constexpr auto HttpVersion = 11;
static constexpr auto ReadBytes = std::size_t{16U << 10U};

/// Connection of one watch. The cancellation shares it and may outlive the watch.
class WatchStream
{
public:
    WatchStream(asio::io_context &io, const StoreSettings &settings, WatchRequest request,
                WatchHandler handler)
        : m_settings(settings)
        , m_request(std::move(request))
        , m_handler(std::move(handler))
        , m_stream(io)
        , m_nextRevision(m_request.startRevision)
    {
        m_parser.body_limit(boost::none);
    }

    /// Opens the watch and reads its messages until it ends.
    auto run() -> Task<StoreResult<WatchEnd>>
    {
        const auto ec = co_await open();
        if (ec)
            co_return end(StoreStatus::Unreachable, ec.message());
        if (m_parser.get().result() != http::status::ok)
            co_return end(StoreStatus::Unreachable,
                          "HTTP status " + std::to_string(m_parser.get().result_int()));
        co_return co_await readMessages();
    }

    /// Ends the watch. No message is handled afterwards.
    auto close() -> void
    {
        m_isClosed = true;
        m_stream.close();
    }

private:
    /// Connects, sends the request and reads the header of the response.
    auto open() -> Task<beast::error_code>
    {
        auto ec = beast::error_code();
        auto token = asio::redirect_error(asio::use_awaitable, ec);
        const auto address = asio::ip::make_address(m_settings.address, ec);
        if (ec)
            co_return ec;
        m_stream.expires_after(m_settings.timeout);
        co_await m_stream.async_connect(asio::ip::tcp::endpoint(address, m_settings.port), token);
        if (ec)
            co_return ec;
        auto request = http::request<http::string_body>(http::verb::post, "/v3/watch", HttpVersion);
        request.set(http::field::host, m_settings.address + ":" + std::to_string(m_settings.port));
        request.set(http::field::content_type, "application/json");
        request.body() = etcd::encode(m_request);
        request.prepare_payload();
        co_await http::async_write(m_stream, request, token);
        if (ec)
            co_return ec;
        co_await http::async_read_header(m_stream, m_buffer, m_parser, token);
        co_return ec;
    }

    auto readMessages() -> Task<StoreResult<WatchEnd>>
    {
        auto buf = std::array<char, ReadBytes>();
        auto line = std::string();
        while (!m_parser.is_done()) {
            auto ec = beast::error_code();
            m_parser.get().body().data = buf.data();
            m_parser.get().body().size = buf.size();
            m_stream.expires_after(m_settings.watchIdleTimeout);
            co_await http::async_read_some(m_stream, m_buffer, m_parser,
                                           asio::redirect_error(asio::use_awaitable, ec));
            const auto n = buf.size() - m_parser.get().body().size;
            line.append(buf.data(), n);
            if (!handleLines(line))
                co_return end(StoreStatus::Ok, m_endReason);
            if (ec && ec != http::error::need_buffer)
                co_return end(StoreStatus::Ok, ec.message());
        }
        co_return end(StoreStatus::Ok, "the store closed the watch");
    }

    /// Handles and removes all complete lines of `text`. Returns false if the watch has ended.
    auto handleLines(std::string &text) -> bool
    {
        auto begin = std::size_t{0};
        auto isOpen = true;
        for (auto stop = text.find('\n'); isOpen && stop != std::string::npos;
             stop = text.find('\n', begin)) {
            isOpen = handleLine(std::string_view(text).substr(begin, stop - begin));
            begin = stop + 1;
        }
        text.erase(0, begin);
        if (text.size() > m_settings.maxWatchLineBytes) {
            m_endReason = "a message of the watch is too large";
            return false;
        }
        return isOpen && !m_isClosed;
    }

    /// Calls the handler with the message of one line. Returns false if the watch has ended.
    auto handleLine(std::string_view text) -> bool
    {
        auto line = etcd::WatchLine();
        try {
            line = etcd::decodeWatchLine(etcd::parse(text));
        } catch (const std::exception &error) {
            m_endReason = error.what();
            return false;
        }
        if (line.isCancelled) {
            m_nextRevision = line.isCompacted ? 0 : m_nextRevision;
            m_endReason = line.isCompacted ? "the history was compacted"
                                           : "the store cancelled the watch";
            return false;
        }
        if (line.message.revision > 0)
            m_nextRevision = std::max(m_nextRevision, line.message.revision + 1);
        m_handler(line.message);
        return !m_isClosed;
    }

    auto end(StoreStatus status, std::string detail) -> StoreResult<WatchEnd>
    {
        m_stream.close();
        return {status, {m_nextRevision}, std::move(detail)};
    }

    StoreSettings m_settings;
    WatchRequest m_request;
    WatchHandler m_handler;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    http::response_parser<http::buffer_body> m_parser;
    Revision m_nextRevision;
    std::string m_endReason = "cancelled";
    bool m_isClosed = false;
};

auto readWatch(asio::io_context &io, const StoreSettings &settings, WatchRequest request,
               WatchHandler handler, transport::CancellationPtr cancellation)
        -> Task<StoreResult<WatchEnd>>
{
    const auto stream =
            std::make_shared<WatchStream>(io, settings, std::move(request), std::move(handler));
    if (cancellation)
        cancellation->onCancel([stream] { stream->close(); });
    auto result = co_await stream->run();
    if (cancellation)
        cancellation->onCancel({});
    co_return result;
}

} // namespace stairspur::store
