// Responses of a faulty server that have no end, for each place of a response.

#ifndef CICADADRUM_TESTS_LIBLOOP_ENDLESS_RESPONSES_H_
#define CICADADRUM_TESTS_LIBLOOP_ENDLESS_RESPONSES_H_

#include <algorithm>
#include <iterator>
#include <string>
#include <vector>

#include "scripted_server.h"

namespace cicadadrum {

// A response of which one place has no end.
struct EndlessResponse {
  std::string name;
  ScriptedResponse response;
};

// Returns responses whose head has no end. `identification` is the header line
// that names the request.
inline std::vector<EndlessResponse> EndlessHeads(
    const std::string& identification) {
  const std::string head = "HTTP/1.1 200 OK\r\n" + identification;
  return {
      {"zeros", {.endless_bytes = std::string(64, '\0')}},
      {"empty lines", {.endless_bytes = "\r\n"}},
      {"status line", {.bytes = "HTTP/1.1 200 ", .endless_bytes = "O"}},
      {"header name", {.bytes = head, .endless_bytes = "N"}},
      {"header value", {.bytes = head + "Name: ", .endless_bytes = "v"}},
      {"spaces before a value",
       {.bytes = head + "Name:", .endless_bytes = " "}},
      {"headers", {.bytes = head, .endless_bytes = "A:\r\n"}},
      {"interim responses", {.endless_bytes = "HTTP/1.1 100 Continue\r\n\r\n"}},
      {"interim responses with headers",
       {.endless_bytes = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"}},
      {"responses with another id",
       {.endless_bytes = "HTTP/1.1 200 OK\r\nRequest-Id: x\r\n"
                         "Content-Length: 7\r\n\r\nsurplus"}},
      {"responses without an id",
       {.endless_bytes = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}},
  };
}

// Returns responses whose body, or something in its place, has no end.
inline std::vector<EndlessResponse> EndlessBodies(
    const std::string& identification) {
  const std::string head = "HTTP/1.1 200 OK\r\n" + identification;
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const std::string long_extension(1000, 'x');
  return {
      {"body without a length", {.bytes = head + "\r\n", .endless_bytes = "b"}},
      {"chunks", {.bytes = head + chunked, .endless_bytes = "4\r\nbody\r\n"}},
      {"large chunks",
       {.bytes = head + chunked,
        .endless_bytes = "4000\r\n" + std::string(0x4000, 'b') + "\r\n"}},
      {"chunk size", {.bytes = head + chunked, .endless_bytes = "0"}},
      {"chunk extension",
       {.bytes = head + chunked + "4;", .endless_bytes = "x"}},
      {"chunks with long extensions",
       {.bytes = head + chunked,
        .endless_bytes = "1;" + long_extension + "\r\nb\r\n"}},
      {"trailers",
       {.bytes = head + chunked + "0\r\n", .endless_bytes = "T: 1\r\n"}},
      {"length beyond the limit",
       {.bytes = head + "Content-Length: 99999999999\r\n\r\n",
        .endless_bytes = "b"}},
      {"chunk beyond the limit",
       {.bytes = head + chunked + "fffffffff\r\n", .endless_bytes = "b"}},
      {"body of a response with another id",
       {.bytes = "HTTP/1.1 200 OK\r\nRequest-Id: x\r\n\r\n",
        .endless_bytes = "b"}},
  };
}

// Returns responses without end for all places, those behind a response
// included.
inline std::vector<EndlessResponse> AllEndlessResponses(
    const std::string& identification) {
  std::vector<EndlessResponse> responses = EndlessHeads(identification);
  std::ranges::move(EndlessBodies(identification),
                    std::back_inserter(responses));
  responses.push_back({"bytes behind a response",
                       {.bytes = "HTTP/1.1 503 Unavailable\r\n" +
                                 identification + "Content-Length: 0\r\n\r\n",
                        .endless_bytes = "behind"}});
  return responses;
}

}  // namespace cicadadrum

#endif  // CICADADRUM_TESTS_LIBLOOP_ENDLESS_RESPONSES_H_
