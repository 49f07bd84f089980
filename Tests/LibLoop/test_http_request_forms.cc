// Forms of requests and what the server makes of them.

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "cicadadrum/loop/http_server.h"
#include "raw_caller.h"

namespace cicadadrum {

namespace {

constexpr std::uint64_t kHeaderBytes = 400;
constexpr std::uint64_t kBodyBytes = 100;

struct RequestForm {
  std::string bytes;
  std::string statuses;  // Of the responses, in order.
  std::string requests;  // Method, target and body of what was passed on.
};

std::string Get(const std::string& fields) {
  return "GET /a HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n";
}

std::string Post(const std::string& fields, const std::string& body) {
  return "POST /a HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n" + body;
}

std::string Chunked(const std::string& body) {
  return Post("Transfer-Encoding: chunked\r\n", body);
}

const std::string kNext = "GET /next HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string kNul(1, '\0');

// Most forms are followed by a second request, which shows where the first one
// ended.
std::vector<RequestForm> Forms() {
  return {
      // Served.
      {Get("") + kNext, "200 200 ", "GET /a |GET /next |"},
      {"\r\n\r\n" + Get("") + "\r\n" + kNext, "200 200 ",
       "GET /a |GET /next |"},
      {Get("Empty:\r\nBlanks: \t x y \t \r\n") + kNext, "200 200 ",
       "GET /a |GET /next |"},
      {"GET /a?refresh HTTP/1.1\r\nHost: h\r\n\r\n" + kNext, "200 200 ",
       "GET /a?refresh |GET /next |"},
      {"GET /?%zz=1&& HTTP/1.1\r\n\r\n", "200 ", "GET /?%zz=1&& |"},
      {"GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n", "200 ",
       "GET http://h/a |"},
      {"GET /a HTTP/1.0\r\n\r\n" + kNext, "200 ", "GET /a |"},
      {"GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n" + kNext, "200 200 ",
       "GET /a |GET /next |"},
      {Get("Connection: close\r\n") + kNext, "200 ", "GET /a |"},
      {Post("Content-Length: 3\r\n", "abc") + kNext, "200 200 ",
       "POST /a abc|GET /next |"},
      {Post("Content-Length: 0\r\n", "") + kNext, "200 200 ",
       "POST /a |GET /next |"},
      {Post("", "") + kNext, "200 200 ", "POST /a |GET /next |"},
      {Get("Content-Length: 3\r\n") + "abc" + kNext, "200 200 ",
       "GET /a abc|GET /next |"},
      {"HEAD /a HTTP/1.1\r\nHost: h\r\nContent-Length: 31\r\n\r\n" + kNext +
           kNext,
       "200 200 ", "HEAD /a " + kNext + "|GET /next |"},
      {"DELETE /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx" + kNext,
       "200 200 ", "DELETE /a x|GET /next |"},
      {"PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx" + kNext,
       "200 200 ", "PUT /a x|GET /next |"},
      {Chunked("3\r\nabc\r\n0\r\n\r\n") + kNext, "200 200 ",
       "POST /a abc|GET /next |"},
      {Chunked("3;name=value;x\r\nabc\r\n2\r\nde\r\n00\r\n\r\n") + kNext,
       "200 200 ", "POST /a abcde|GET /next |"},
      {Chunked("1 ;x\r\na\r\n0\r\nTrailer: x\r\n\r\n") + kNext, "200 200 ",
       "POST /a a|GET /next |"},
      {Chunked("A\r\n0123456789\r\n0\r\n\r\n") + kNext, "200 200 ",
       "POST /a 0123456789|GET /next |"},
      {Chunked("0\r\n\r\n") + kNext, "200 200 ", "POST /a |GET /next |"},
      // Malformed or ambiguous.
      {Get("Name : x\r\n") + kNext, "400 ", ""},
      {Get("Content-Length : 31\r\n") + kNext, "400 ", ""},
      {Get("Na me: x\r\n") + kNext, "400 ", ""},
      {Get("Na\tme: x\r\n") + kNext, "400 ", ""},
      {Get(": x\r\n") + kNext, "400 ", ""},
      {Get("Name\r\n") + kNext, "400 ", ""},
      {Get("Name: x\r\n folded\r\n") + kNext, "400 ", ""},
      {Get(" Name: x\r\n") + kNext, "400 ", ""},
      {Get("Name: a\rb\r\n") + kNext, "400 ", ""},
      {Get("Name: a\nb: c\r\n") + kNext, "400 ", ""},
      {Get("Name: a" + kNul + "b\r\n") + kNext, "400 ", ""},
      {Get("Na" + kNul + "me: a\r\n") + kNext, "400 ", ""},
      {"GET /a HTTP/1.1\nHost: h\n\n" + kNext, "400 ", ""},
      {"GET  /a HTTP/1.1\r\nHost: h\r\n\r\n" + kNext, "400 ", ""},
      {"GET /a b HTTP/1.1\r\nHost: h\r\n\r\n" + kNext, "400 ", ""},
      {"GET /a HTTP/1.1 \r\nHost: h\r\n\r\n" + kNext, "400 ", ""},
      {"GET /a\r\nHost: h\r\n\r\n" + kNext, "400 ", ""},
      {Get("Host: other\r\n") + kNext, "400 ", ""},
      {Post("Content-Length: 3\r\nContent-Length: 3\r\n", "abc") + kNext,
       "400 ", ""},
      {Post("Content-Length: 0\r\nContent-Length: 31\r\n", "") + kNext, "400 ",
       ""},
      {Post("Content-Length: 3, 3\r\n", "abc") + kNext, "400 ", ""},
      {Post("Content-Length: +3\r\n", "abc") + kNext, "400 ", ""},
      {Post("Content-Length: -1\r\n", "abc") + kNext, "400 ", ""},
      {Post("Content-Length: 0x3\r\n", "abc") + kNext, "400 ", ""},
      {Post("Content-Length:\r\n", "abc") + kNext, "400 ", ""},
      {Post("Content-Length: 99999999999999999999\r\n", "") + kNext, "400 ",
       ""},
      {Post("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
            "0\r\n\r\n") +
           kNext,
       "400 ", ""},
      {Post("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
            "0\r\n\r\n") +
           kNext,
       "400 ", ""},
      {Post("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n") + kNext,
       "400 ", ""},
      {Post("Transfer-Encoding: identity\r\n", "") + kNext, "400 ", ""},
      {Post("Transfer-Encoding:\r\n", "") + kNext, "400 ", ""},
      {"POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       "400 ", ""},
      {Chunked("3\r\nabcXX0\r\n\r\n") + kNext, "400 ", ""},
      {Chunked("3\rXabc\r\n0\r\n\r\n") + kNext, "400 ", ""},
      {Chunked("3\nabc\r\n0\r\n\r\n") + kNext, "400 ", ""},
      {Chunked("x\r\nabc\r\n0\r\n\r\n") + kNext, "400 ", ""},
      {Chunked("-1\r\n\r\n") + kNext, "400 ", ""},
      {Chunked("\r\n0\r\n\r\n") + kNext, "400 ", ""},
      {Chunked("fffffffffffffffff\r\n") + kNext, "400 ", ""},
      {Chunked("0\r\nBad trailer: x\r\n\r\n") + kNext, "400 ", ""},
      // Understood, but not supported.
      {"OPTIONS /a HTTP/1.1\r\nHost: h\r\n\r\n" + kNext, "501 ", ""},
      {"GET /a HTTP/2.0\r\nHost: h\r\n\r\n" + kNext, "505 ", ""},
      {Post("Expect: more\r\nContent-Length: 1\r\n", "x") + kNext, "417 ", ""},
      // Too large.
      {Get("Name: " + std::string(kHeaderBytes, 'x') + "\r\n"), "431 ", ""},
      {"\r\n\r\n" +
           Get("Name: " + std::string(kHeaderBytes - 38, 'x') + "\r\n"),
       "431 ", ""},
      {Post("Content-Length: 101\r\n", ""), "413 ", ""},
      {Chunked("65\r\n" + std::string(101, 'x') + "\r\n0\r\n\r\n"), "413 ", ""},
      {Get("") + Get("Name : x\r\n") + kNext, "200 400 ", "GET /a |"},
  };
}

}  // namespace

// Guards against requests that a caller did not send, but that a server and a
// proxy before it read out of the bytes of another one.
TEST_CASE("request forms get one verdict, whole and split at each byte") {
  EventLoop loop;
  std::string requests;
  std::unique_ptr<HttpServer> server;
  server = std::make_unique<HttpServer>(
      loop,
      HttpServerOptions{.limits = {.max_header_bytes = kHeaderBytes,
                                   .max_body_bytes = kBodyBytes}},
      [&](std::uint64_t id, const HttpRequest& request) {
        requests += std::string(NameOf(request.method)) + " " + request.target +
                    " " + request.body.ToString() + "|";
        server->Respond(id, {});
      },
      [&](std::uint64_t id) { server->Abort(id); });
  const std::uint16_t port = server->Listen("127.0.0.1:0").value();
  for (const RequestForm& form : Forms()) {
    CAPTURE(form.bytes);
    for (std::size_t split = 0; split < form.bytes.size(); ++split) {
      CAPTURE(split);
      requests.clear();
      RawCaller caller(loop, port);
      REQUIRE(caller.is_connected());
      caller.ResetAtEnd();
      caller.Send(form.bytes.substr(0, split));
      for (int i = 0; i < 3; ++i)
        event_base_loop(loop.base(), EVLOOP_NONBLOCK);
      caller.Send(form.bytes.substr(split));
      caller.WaitUntil(
          [&] { return caller.Statuses().size() >= form.statuses.size(); });
      REQUIRE(caller.Statuses() == form.statuses);
      REQUIRE(requests == form.requests);
    }
  }
}

}  // namespace cicadadrum
