// Tests of gRPC's wire conventions: time-outs, percent encoding, message frames, status codes.
#include "grpc/protocol.h"

#include <gtest/gtest.h>

namespace gannetcourse::grpc {
namespace {

TEST(GrpcTimeout, ParsesEveryUnit) {
  EXPECT_DOUBLE_EQ(parseTimeout("2H")->count(), 7200);
  EXPECT_DOUBLE_EQ(parseTimeout("3M")->count(), 180);
  EXPECT_DOUBLE_EQ(parseTimeout("15S")->count(), 15);
  EXPECT_DOUBLE_EQ(parseTimeout("250m")->count(), 0.25);
  EXPECT_NEAR(parseTimeout("99999999u")->count(), 99.999999, 1e-9);
  EXPECT_NEAR(parseTimeout("1n")->count(), 1e-9, 1e-15);
}

TEST(GrpcTimeout, RejectsMalformedText) {
  for (const char* text : {"", "S", "15", "1.5S", "-1S", "123456789S", "1x", " 1S", "1 S"})
    EXPECT_FALSE(parseTimeout(text)) << text;
}

// A server must not run a call beyond the client's deadline.
TEST(GrpcTimeout, FormatsWithoutRoundingUp) {
  for (const double seconds : {1e-9, 0.0004, 0.1, 1.0 / 3, 5.4321, 99.9999, 86400.5, 1e9}) {
    const auto again = parseTimeout(formatTimeout(Duration(seconds)));
    ASSERT_TRUE(again) << seconds;
    EXPECT_LE(again->count(), seconds * (1 + 1e-12));
    EXPECT_GE(again->count(), seconds * 0.99) << formatTimeout(Duration(seconds));
  }
}

TEST(PercentEncoding, RoundTripsTextAndKeepsBrokenEscapes) {
  const std::string text = "100% of \xc3\xa9t\xc3\xa9\nnext";
  EXPECT_EQ(percentEncode(text), "100%25 of %C3%A9t%C3%A9%0Anext");
  EXPECT_EQ(percentDecode(percentEncode(text)), text);
  EXPECT_EQ(percentDecode("50%"), "50%");
  EXPECT_EQ(percentDecode("%zz%2"), "%zz%2");
}

TEST(MessageReader, SplitsMessagesThatArriveByteByByte) {
  const std::string bytes = frame("first") + frame("") + frame(std::string(70000, 'x'));
  MessageReader reader(100000);
  std::vector<std::size_t> sizes;
  for (const char c : bytes) {
    reader.add({&c, 1});
    while (const auto message = reader.next()) sizes.push_back(message->size());
  }
  EXPECT_EQ(sizes, (std::vector<std::size_t>{5, 0, 70000}));
  EXPECT_FALSE(reader.isInsideMessage());
}

TEST(MessageReader, ReturnsNothingAfterFault) {
  const auto faultOf = [](const std::string& bytes, std::size_t maxMessageBytes = 100) {
    MessageReader reader(maxMessageBytes);
    reader.add(bytes);
    EXPECT_FALSE(reader.next());
    reader.add(frame("good"));
    EXPECT_FALSE(reader.next()) << "the reader returned a message after a fault";
    return reader.fault();
  };
  EXPECT_EQ(faultOf(std::string("\1\0\0\0\1x", 6)), MessageReader::Fault::kCompressed);
  EXPECT_EQ(faultOf(std::string("\7\0\0\0\1x", 6)), MessageReader::Fault::kBadFlag);
  EXPECT_EQ(faultOf(std::string("\0\xff\xff\xff\xff", 5)), MessageReader::Fault::kTooLarge);
}

TEST(StatusCode, MapsInvalidNumbersToUnknown) {
  EXPECT_EQ(codeFromText("0"), Code::kOk);
  EXPECT_EQ(codeFromText("14"), Code::kUnavailable);
  for (const char* text : {"17", "-1", "", "x", "1x"}) EXPECT_EQ(codeFromText(text), Code::kUnknown) << text;
}

}  // namespace
}  // namespace gannetcourse::grpc
