// Tests of the HTTP/1.1 parsers: messages that arrive in pieces, and messages that must be rejected.
#include <gtest/gtest.h>

#include <random>

#include "http1/parser.h"

namespace gannetcourse::http1 {
namespace {

const std::string kRequest =
    "POST /v1/chat/completions?a=b HTTP/1.1\r\nHost: x\r\nX-Call-Id: 1\r\nContent-Length: 5\r\n\r\nhello";

ParseState parseAll(RequestParser& parser, const std::string& bytes, std::size_t step) {
  ParseState state = ParseState::kNeedMore;
  for (std::size_t i = 0; i < bytes.size() && state == ParseState::kNeedMore; i += step) {
    if (!parser.append(std::string_view(bytes).substr(i, step))) return ParseState::kMalformed;
    state = parser.parse();
  }
  return state;
}

TEST(RequestParser, ParsesRequestThatArrivesInPieces) {
  for (const std::size_t step : {std::size_t{1}, std::size_t{3}, kRequest.size()}) {
    RequestParser parser{Limits{}};
    ASSERT_EQ(parseAll(parser, kRequest, step), ParseState::kComplete);
    EXPECT_EQ(parser.request().method, "POST");
    EXPECT_EQ(parser.request().target, "/v1/chat/completions?a=b");
    EXPECT_EQ(*parser.request().fields.find("x-call-id"), "1");
    EXPECT_EQ(parser.request().body, "hello");
    EXPECT_TRUE(parser.request().keepAlive);
  }
}

// Fields are held as text: every form of a value has to be found again.
TEST(RequestParser, FindsFieldsWhateverTheirValues) {
  RequestParser parser{Limits{}};
  ASSERT_TRUE(parser.append(
      "GET / HTTP/1.1\r\nA:\r\nB: x: y\r\nC:  spaces \r\nD: one\r\n two\r\nE::\r\nb: z\r\n\r\n"));
  ASSERT_EQ(parser.parse(), ParseState::kComplete);
  const Fields& fields = parser.request().fields;
  EXPECT_EQ(fields.find("a"), "");
  EXPECT_EQ(fields.find("b"), "x: y");
  EXPECT_EQ(fields.find("c"), "spaces");
  EXPECT_EQ(fields.find("d"), "one two");
  EXPECT_EQ(fields.find("e"), ":");
  EXPECT_EQ(fields.count("B"), 2U);
  EXPECT_EQ(fields.find("x"), std::nullopt);
  std::string names;
  fields.forEach([&](std::string_view name, std::string_view) { names.append(name); });
  EXPECT_EQ(names, "ABCDEb");
}

TEST(RequestParser, ParsesPipelinedRequestAfterThePreviousOne) {
  RequestParser parser{Limits{}};
  ASSERT_TRUE(parser.append(kRequest + "GET /-/ready HTTP/1.1\r\n\r\n"));
  ASSERT_EQ(parser.parse(), ParseState::kComplete);
  EXPECT_EQ(parser.request().body, "hello");
  parser.startNextRequest();
  EXPECT_TRUE(parser.hasPartialRequest());
  ASSERT_EQ(parser.parse(), ParseState::kComplete);
  EXPECT_EQ(parser.request().target, "/-/ready");
  parser.startNextRequest();
  EXPECT_FALSE(parser.hasPartialRequest());
}

// Guards against request smuggling: a proxy and its server that read the length differently see different
// requests.
TEST(RequestParser, RejectsRequestWhoseLengthIsInvalidOrAmbiguous) {
  const std::string start = "POST / HTTP/1.1\r\n";
  for (const char* const fields :
       {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "Content-Length: 5\r\nContent-Length: 6\r\n",
        "Content-Length: 5\r\nContent-Length: 5\r\n", "Content-Length: -5\r\n", "Content-Length: 5x\r\n",
        "Content-Length: 99999999999999999999999\r\n", "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: xchunked\r\n", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length : 5\r\n"}) {
    RequestParser parser{Limits{}};
    EXPECT_EQ(parseAll(parser, start + fields + "\r\n0\r\n\r\n", 1000), ParseState::kMalformed) << fields;
  }
}

TEST(RequestParser, RejectsHeadBodyChunkAndPipelinedBytesOverTheirLimits) {
  Limits limits;
  limits.maxHeadBytes = 256;
  limits.maxBodyBytes = 100;
  RequestParser head(limits);
  EXPECT_EQ(parseAll(head, "GET / HTTP/1.1\r\nX: " + std::string(400, 'a'), 50), ParseState::kMalformed);
  EXPECT_EQ(head.errorStatus(), 431);
  RequestParser body(limits);
  EXPECT_EQ(parseAll(body, "POST / HTTP/1.1\r\nContent-Length: 62914560\r\n\r\n", 10),
            ParseState::kMalformed);
  EXPECT_EQ(body.errorStatus(), 413);
  RequestParser chunks(limits);
  EXPECT_EQ(parseAll(chunks, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nFFFFFFFF\r\n", 10),
            ParseState::kMalformed);
  RequestParser pipelined(limits);
  EXPECT_FALSE(pipelined.append(
      std::string(limits.maxHeadBytes + limits.maxBodyBytes + limits.maxPipelinedBytes + 1, 'x')));
}

struct ParsedResponse {
  int status = 0;
  std::string body;
  ParseState state = ParseState::kNeedMore;
};

ParsedResponse responseOf(const std::string& bytes, std::size_t step, bool* reusable = nullptr) {
  ParsedResponse response;
  ResponseParser parser(Limits{}, {[&](const ResponseHead& head) { response.status = head.status; },
                                   [&](std::string_view body) { response.body += body; }});
  for (std::size_t i = 0; i < bytes.size() && response.state == ParseState::kNeedMore; i += step)
    response.state = parser.consume(std::string_view(bytes).substr(i, step));
  if (reusable != nullptr) *reusable = parser.isConnectionReusable();
  return response;
}

const std::string kChunkedResponse =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";

TEST(ResponseParser, ConnectionIsReusableAfterChunkedResponseThatArrivesInPieces) {
  for (const std::size_t step : {std::size_t{1}, std::size_t{7}, kChunkedResponse.size()}) {
    bool reusable = false;
    const ParsedResponse response = responseOf(kChunkedResponse, step, &reusable);
    EXPECT_EQ(response.state, ParseState::kComplete);
    EXPECT_EQ(response.body, "hello");
    EXPECT_TRUE(reusable) << step;
  }
}

TEST(ResponseParser, SkipsInformationalResponsesAndForbidsReuseAfterTrailingBytes) {
  bool reusable = true;
  const std::string informational =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
  const ParsedResponse response =
      responseOf(informational + kChunkedResponse + "HTTP/1.1 200 OK\r\n\r\n", 10000, &reusable);
  EXPECT_EQ(response.state, ParseState::kComplete);
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(response.body, "hello");
  EXPECT_FALSE(reusable);
}

// Guards against long streams that are cut off once all their chunks together are as long as a body may be.
TEST(ResponseParser, LimitsEachChunkButNotTheirNumber) {
  constexpr std::size_t kStep = 5000, kChunkBytes = 0x1000;
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::size_t chunks = 2 * Limits{}.maxBodyBytes / kChunkBytes;
  std::string stream = head;
  for (std::size_t i = 0; i < chunks; ++i) stream += "1000\r\n" + std::string(kChunkBytes, 'a') + "\r\n";
  const ParsedResponse response = responseOf(stream + "0\r\n\r\n", kStep);
  EXPECT_EQ(response.state, ParseState::kComplete);
  EXPECT_EQ(response.body.size(), chunks * kChunkBytes);
  const std::string announced = std::to_string(Limits{}.maxBodyBytes + 1);
  for (const std::string& bytes :
       {head + "40001\r\n", "HTTP/1.1 200 OK\r\nContent-Length: " + announced + "\r\n\r\n"})
    EXPECT_EQ(responseOf(bytes, kStep).state, ParseState::kMalformed) << bytes;
}

TEST(ResponseParser, RejectsMalformedResponse) {
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string& bytes :
       {std::string("\x01\x02noise\r\n\r\n"), "HTTP/1.1 200 OK\r\nX: " + std::string(40000, 'y'),
        head + "zz\r\nhello\r\n", head + "3\r\nhello\r\n0\r\n\r\n", head + "BB8F1C80\r\nhello"}) {
    EXPECT_EQ(responseOf(bytes, 100).state, ParseState::kMalformed) << bytes.substr(0, 80);
  }
}

TEST(ResponseParser, IsInsideHeadOrChunkFromItsFirstToItsLastByte) {
  bool headSeen = false;
  ResponseParser parser(Limits{}, {[&](const ResponseHead&) { headSeen = true; }, [](std::string_view) {}});
  EXPECT_FALSE(parser.isInsideHeadOrChunk());
  parser.consume("HTTP/1.1 200 OK\r\nTransfer-Enc");
  EXPECT_TRUE(parser.isInsideHeadOrChunk());
  parser.consume("oding: chunked\r\n\r\n");
  EXPECT_FALSE(parser.isInsideHeadOrChunk());
  parser.consume("a\r\nhello");
  EXPECT_TRUE(parser.isInsideHeadOrChunk());
  parser.consume("12345");
  EXPECT_FALSE(parser.isInsideHeadOrChunk());
  parser.consume("\r");
  EXPECT_FALSE(parser.isInsideHeadOrChunk());
  parser.consume("\n");
  EXPECT_FALSE(parser.isInsideHeadOrChunk());  // between two chunks, for however long
  parser.consume("5");
  EXPECT_TRUE(parser.isInsideHeadOrChunk());
  parser.consume("\r\nhello\r\n");
  EXPECT_FALSE(parser.isInsideHeadOrChunk());
  parser.consume("0\r\n");
  EXPECT_TRUE(parser.isInsideHeadOrChunk());  // trailers, or the empty line that ends them
  EXPECT_TRUE(headSeen);
}

// Guards against crashes and memory errors on corrupted input, which the sanitizers of the build detect.
TEST(Parsers, ParseCorruptedMessagesWithoutMemoryErrors) {
  std::mt19937 random(17);
  int malformed = 0;
  for (int round = 0; round < 3000; ++round) {
    std::string bytes = round % 2 == 0 ? kRequest : kChunkedResponse;
    for (int i = 0; i < 1 + round % 4; ++i) bytes[random() % bytes.size()] = static_cast<char>(random());
    const std::size_t step = 1 + random() % 20;
    RequestParser request{Limits{}};
    malformed += parseAll(request, bytes, step) == ParseState::kMalformed;
    malformed += responseOf(bytes, step).state == ParseState::kMalformed;
  }
  EXPECT_GT(malformed, 3000);  // each message is malformed at least for the parser of the other kind
}

}  // namespace
}  // namespace gannetcourse::http1
