#include <criterion/criterion.h>

#include <cstdio>

#include <unistd.h>

#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

#include <stairspur/core/Error.h>
#include <stairspur/transport/HttpServer.h>

#include "Loop.h"

using namespace stairspur;
using namespace stairspur::transport;
using namespace stairspur::transport::test;

/// A file that goes with the test.
class TemporaryFile
{
public:
    TemporaryFile()
    {
        const auto fd = ::mkstemp(m_path.data());
        cr_assert_geq(fd, 0);
        m_file = ::fdopen(fd, "w");
    }
    ~TemporaryFile()
    {
        std::fclose(m_file);
        std::remove(m_path.c_str());
    }
    TemporaryFile(const TemporaryFile &) = delete;
    TemporaryFile(TemporaryFile &&) = delete;
    auto operator=(const TemporaryFile &) -> TemporaryFile & = delete;
    auto operator=(TemporaryFile &&) -> TemporaryFile & = delete;

    [[nodiscard]] auto path() const -> const std::string & { return m_path; }
    [[nodiscard]] auto file() const -> std::FILE * { return m_file; }

private:
    std::string m_path = "/tmp/stairspur-test-XXXXXX";
    std::FILE *m_file = nullptr;
};

/// Writes a certificate that signs itself, and its key.
static auto writeCertificate(const TemporaryFile &certificate, const TemporaryFile &key) -> void
{
    static constexpr auto Day = 86400L;
    auto *pair = EVP_EC_gen("P-256");
    auto *it = X509_new();
    ASN1_INTEGER_set(X509_get_serialNumber(it), 1);
    X509_gmtime_adj(X509_getm_notBefore(it), -Day);
    X509_gmtime_adj(X509_getm_notAfter(it), Day);
    X509_set_pubkey(it, pair);
    auto *name = X509_get_subject_name(it);
    X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC,
                               reinterpret_cast<const unsigned char *>("localhost"), -1, -1, 0);
    X509_set_issuer_name(it, name);
    cr_assert_gt(X509_sign(it, pair, EVP_sha256()), 0);
    PEM_write_X509(certificate.file(), it);
    PEM_write_PrivateKey(key.file(), pair, nullptr, nullptr, 0, nullptr, nullptr);
    std::fflush(certificate.file());
    std::fflush(key.file());
    X509_free(it);
    EVP_PKEY_free(pair);
}

static auto hello(HttpRequest request, CancellationPtr) -> Task<HttpResponse>
{
    co_return HttpResponse{.status = 200, .headers = {}, .body = "hello " + request.target};
}

static auto fetch(asio::ssl::stream<asio::ip::tcp::socket> &stream) -> Task<std::string>
{
    static constexpr auto Request =
            std::string_view("GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    co_await stream.async_handshake(asio::ssl::stream_base::client, asio::use_awaitable);
    co_await asio::async_write(stream, asio::buffer(Request), asio::use_awaitable);
    auto answer = std::string();
    auto ec = boost::system::error_code();
    co_await asio::async_read(stream, asio::dynamic_buffer(answer),
                              asio::redirect_error(asio::use_awaitable, ec));
    co_return answer;
}

Test(HttpTls, requestsAreAnsweredOverTls)
{
    const auto certificate = TemporaryFile();
    const auto key = TemporaryFile();
    writeCertificate(certificate, key);
    auto io = asio::io_context();
    auto server =
            HttpServer(io, {.certificateFile = certificate.path(), .keyFile = key.path()}, hello);
    server.start();
    auto context = asio::ssl::context(asio::ssl::context::tls_client);
    context.load_verify_file(certificate.path());
    context.set_verify_mode(asio::ssl::verify_peer);
    auto stream = asio::ssl::stream<asio::ip::tcp::socket>(io, context);
    stream.lowest_layer().connect({asio::ip::address_v4::loopback(), server.port()});
    const auto answer = runTask(io, fetch(stream));
    cr_assert(answer.ends_with("hello /a"), "%s", answer.c_str());
    runUntil(io, [&] { return server.connections() == 0; });
}

Test(HttpTls, plainTextIsRefusedAndTheServerLives)
{
    const auto certificate = TemporaryFile();
    const auto key = TemporaryFile();
    writeCertificate(certificate, key);
    auto io = asio::io_context();
    auto server =
            HttpServer(io, {.certificateFile = certificate.path(), .keyFile = key.path()}, hello);
    server.start();
    auto peer = RawPeer(io, server.port());
    peer.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    cr_assert(peer.readAll().find("hello") == std::string::npos);
    runUntil(io, [&] { return server.connections() == 0; });
}

Test(HttpTls, unreadableCertificateIsASettingError)
{
    const auto empty = TemporaryFile();
    auto io = asio::io_context();
    const std::string cases[] = {empty.path(), "/nonexistent"};
    for (const auto &it : cases) {
        auto server = HttpServer(io, {.certificateFile = it, .keyFile = it}, hello);
        cr_assert_throw(server.start(), SettingError, "%s", it.c_str());
    }
}
