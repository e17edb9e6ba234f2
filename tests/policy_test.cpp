// The ordinary path: picks with hand-worked numbers, and each way through a request's life.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "harness.h"

namespace gannetcourse::test {
namespace {

RequestArrived ask(const std::string& id, double prompt, std::uint64_t session, std::uint64_t prefix = 0,
                   double shared = 0) {
  RequestArrived r;
  r.id = {id};
  r.timeUntilDeadline = Duration(4);
  r.promptTokens = prompt;
  r.sessionKey = session;
  r.prefixKey = prefix;
  r.prefixTokens = shared;
  r.maxOutputTokens = 300;
  return r;
}

// Serves a request to its end on whatever servers the policy picks; gives the reader.
std::uint32_t serve(Host& host, double at, const RequestArrived& r, double kept = 0) {
  const std::uint32_t reader = sentTo(host.feed(at, r));
  const std::uint32_t writer =
      sentTo(host.ended(at + 0.05, r.id.value, reader, Outcome::kPrefilled, false, kept));
  EXPECT_NE(writer, 0U);
  host.streams(at + 0.08, r.id.value, writer);
  host.ended(at + 0.5, r.id.value, writer, Outcome::kOk, true);
  return reader;
}

// Engines that spoil their answers may tell any number in a form that can be read. The requests after them
// are let in and spread as if none had.
TEST(AbsurdFigures, NeitherKeepAServerOutNorSpoilWhatIsKnownOfTheOthers) {
  const auto spread = [](bool absurdKept, bool absurdLoad) {
    Settings settings = twoStageSettings();
    settings.loadReportSource = LoadReportSource::kResponses;
    Host host(settings);
    host.list(1, {server(1, Role::kPrefill), server(2, Role::kPrefill), server(3, Role::kDecode)});
    const auto serve = [&](double at, const std::string& id, double kept, double figure) {
      const std::uint32_t reader = sentTo(host.request(at, id));
      if (reader == 0) return reader;
      AttemptEnded read{{id}, 0, {reader}, Outcome::kPrefilled, false, kept, Duration(0.05), LoadReport{}};
      read.load->memoryUtilization = read.load->slotUtilization = read.load->requestsQueued = figure;
      host.feed(at + 0.05, read);
      host.streams(at + 0.06, id, 3);
      host.ended(at + 0.07, id, 3, Outcome::kOk, true);
      host.tick(at + 0.08);
      return reader;
    };
    for (int i = 0; i < 20; ++i) serve(1.1 + i * 0.1, "before" + std::to_string(i), 100, 0.2);
    serve(4, "absurd", absurdKept ? 1e300 : 100, absurdLoad ? 1e300 : 0.2);
    serve(4.1, "negative", absurdKept ? -1e300 : 100, 0.2);
    serve(4.2, "no cost", absurdKept ? 1300 : 100, 0.2);  // as many as the prompt's and a read's fixed cost
    host.run(12);
    std::map<std::uint32_t, int> readers;
    for (int i = 0; i < 40; ++i) ++readers[serve(host.now + 0.1, "after" + std::to_string(i), 100, 0.2)];
    return readers;
  };
  std::map<std::uint32_t, int> usual = spread(false, false), load = spread(false, true);
  EXPECT_EQ(usual[0], 0);
  EXPECT_EQ(spread(true, false)[0], 0) << "all are let in";
  EXPECT_EQ(load[0], 0) << "all are let in";
  for (const std::uint32_t reader : {1U, 2U}) EXPECT_EQ(load[reader] > 0, usual[reader] > 0) << reader;
}

TEST(Reader, GoesToTheShorterQueue) {
  Host host(twoStageSettings());
  host.list(1, {server(1, Role::kPrefill), server(2, Role::kPrefill), server(3, Role::kDecode)});
  const std::uint32_t first = sentTo(host.request(1.1, "a", 800));
  const std::uint32_t second = sentTo(host.request(1.1, "b", 800));
  EXPECT_EQ(first + second, 3U) << "800 tokens queue at one reader, none at the other";
}

TEST(Reader, SessionReturnsToWhatItsReaderKeeps) {
  Host host(twoStageSettings());
  host.list(1, {server(1, Role::kPrefill), server(2, Role::kPrefill), server(3, Role::kDecode)});
  const std::uint32_t reader = serve(host, 1.1, ask("a", 3000, 42));
  // 500 tokens queue there and 3,000 of 3,400 are kept: (500 + 300) + 2 * 400 tokens against 2 * 3,400.
  host.feed(2.0, ask("filler", 200, 0));
  const std::uint32_t busy = sentTo(host.last);
  EXPECT_EQ(sentTo(host.feed(2.0, ask("b", 3400, 42))), reader) << "filler went to " << busy;
}

TEST(Reader, QueueOutweighsCreditInTheEnd) {
  Settings settings = twoStageSettings();
  settings.classes[0].ttftObjective = Duration(100);  // no holding here: the pick alone is looked at
  Host host(settings);
  host.list(1, {server(1, Role::kPrefill), server(2, Role::kPrefill), server(3, Role::kDecode)});
  const std::uint32_t reader = serve(host, 1.1, ask("a", 1000, 42));
  bool left = false;
  for (int i = 0; i < 20 && !left; ++i) {
    left = sentTo(host.feed(2.0, ask("b" + std::to_string(i), 1200, 42))) != reader;
  }
  EXPECT_TRUE(left);
}

TEST(Reader, RestartedServerKeepsNothing) {
  const std::vector<EngineEntry> both = {server(1, Role::kPrefill), server(2, Role::kPrefill),
                                         server(3, Role::kDecode)};
  std::uint64_t text = 1;  // a text with its home at reader 2
  for (std::uint32_t home = 0; home != 2; ++text) {
    Host fresh(twoStageSettings());
    fresh.list(1, both);
    home = sentTo(fresh.feed(1.1, ask("a", 3000, 0, text + 1, 2900)));
  }
  Host host(twoStageSettings());
  host.list(1, {server(1, Role::kPrefill), server(3, Role::kDecode)});
  EXPECT_EQ(serve(host, 1.1, ask("a", 3000, 0, text, 2900)), 1U);
  host.list(1.6, both);
  EXPECT_EQ(serve(host, 1.7, ask("b", 3000, 0, text, 2900)), 1U) << "what it kept counts";
  EngineEntry again = server(1, Role::kPrefill);
  again.startedAt = Instant(Duration(2.3));
  host.list(3, {again}, EngineListUpdate::Scope::kDelta);
  EXPECT_EQ(serve(host, 15.1, ask("c", 3000, 0, text, 2900)), 2U) << "until it starts anew";
}

TEST(Reader, SharedPrefixBreaksTiesAlikeOnEveryNode) {
  Settings settings = twoStageSettings();
  std::uint32_t picks[2];
  for (int node = 0; node < 2; ++node) {
    settings.seed = 100 + static_cast<std::uint64_t>(node);
    Host host(settings);
    host.list(1, {server(1, Role::kPrefill), server(2, Role::kPrefill), server(3, Role::kDecode)});
    picks[node] = sentTo(host.feed(1.1, ask("a", 500, 0, 99, 400)));
  }
  EXPECT_EQ(picks[0], picks[1]);
}

// With many nodes the turns of a session come to different ones, none of which knows who keeps it.
TEST(Reader, SessionHasOneHomeOnAllNodes) {
  std::vector<EngineEntry> entries = {server(99, Role::kDecode)};
  for (std::uint32_t id = 1; id <= 8; ++id) entries.push_back(server(id, Role::kPrefill));
  Settings settings = twoStageSettings();
  settings.routerCount = 50;
  Host one(settings);
  settings.seed = 12345;
  Host other(settings);
  one.list(1, entries);
  other.list(1, entries);
  std::vector<std::uint32_t> homes;
  for (std::uint64_t session = 1; session <= 20; ++session) {
    homes.push_back(serve(one, 1 + 0.6 * static_cast<double>(session), ask("a", 1000, session)));
    EXPECT_EQ(serve(other, 1 + 0.6 * static_cast<double>(session), ask("a", 1000, session)), homes.back());
  }
  std::sort(homes.begin(), homes.end());
  EXPECT_GE(std::unique(homes.begin(), homes.end()) - homes.begin(), 5) << "sessions spread over readers";
}

// Sessions that begin with one text are read where it is kept, on every node; a text that half of the
// requests begin with has more than one home.
TEST(Reader, SharedTextHasHomesByItsPartOfTheRequests) {
  std::vector<EngineEntry> entries = {server(99, Role::kDecode)};
  for (std::uint32_t id = 1; id <= 12; ++id) entries.push_back(server(id, Role::kPrefill));
  Settings settings = twoStageSettings();
  settings.routerCount = 50;
  Host one(settings), other(settings);
  one.list(1, entries);
  other.list(1, entries);
  std::vector<std::uint32_t> hot;
  for (std::uint64_t i = 1; i <= 40; ++i) {
    const double at = 1 + 0.6 * static_cast<double>(i);
    const bool rare = i % 2 == 0;  // each of these texts comes once
    const RequestArrived r = ask("a", 1000, 1000 + i, rare ? 500 + i : 7, 700);
    if (!rare) {
      hot.push_back(serve(one, at, r));
    } else {
      RequestArrived again = r;
      again.sessionKey = 2000 + i;
      EXPECT_EQ(serve(one, at, r), serve(other, at, again)) << "a rare text has one home for all sessions";
    }
  }
  std::sort(hot.begin(), hot.end());
  const auto homes = std::unique(hot.begin(), hot.end()) - hot.begin();
  EXPECT_GE(homes, 2);
  EXPECT_LE(homes, 9);
}

RequestArrived ofSession(const std::string& id, std::uint64_t session) {
  RequestArrived r;
  r.id = {id};
  r.timeUntilDeadline = Duration(6);
  r.sessionKey = session;
  r.promptTokens = 1000;
  return r;
}

// One connection may be reset for itself: only a second sign without an answer between counts as lost
// contact.
TEST(Health, ASingleResetIsNoLostContact) {
  for (const int resets : {1, 2}) {
    Host host(test::twoStageSettings());
    host.list(0, {server(1, Role::kPrefill), server(3, Role::kPrefill), server(2, Role::kDecode)});
    const std::uint32_t home = test::sentTo(host.feed(0, ofSession("a", 5)));
    ASSERT_EQ(test::sentTo(host.feed(0.01, ofSession("b", 5))), home);
    host.ended(0.02, "a", home, Outcome::kReset);
    if (resets > 1) host.ended(0.03, "b", home, Outcome::kReset);
    host.run(0.1);
    if (resets == 1) host.ended(0.11, "b", home, Outcome::kPrefilled);  // it answers: all is well again
    EXPECT_EQ(test::sentTo(host.feed(0.15, ofSession("c", 5))) == home, resets == 1);
  }
}

// What was believed of a server fades, also where nothing came that could have mended it.
TEST(Health, ASecondResetLongAfterIsNoLostContact) {
  Host host(test::twoStageSettings());
  host.list(0, {server(1, Role::kPrefill), server(3, Role::kPrefill), server(2, Role::kDecode)});
  const std::uint32_t home = test::sentTo(host.feed(0, ofSession("a", 5)));
  host.ended(0.02, "a", home, Outcome::kReset);
  host.run(20);
  ASSERT_EQ(test::sentTo(host.feed(20.05, ofSession("b", 5))), home);
  host.ended(20.1, "b", home, Outcome::kReset);
  EXPECT_EQ(test::sentTo(host.feed(20.2, ofSession("c", 5))), home);
}

TEST(Health, AnIdleProcessDropsItsStaleBeliefs) {
  for (const Outcome outcome : {Outcome::kConnectFailed, Outcome::kError, Outcome::kReset}) {
    Host host(test::twoStageSettings());
    host.list(0, {server(1, Role::kPrefill), server(3, Role::kPrefill), server(2, Role::kDecode)});
    const std::uint32_t home = test::sentTo(host.feed(0, ofSession("a0", 5)));
    for (int i = 0; i < 6; ++i) {
      const std::string id = "a" + std::to_string(i);
      if (i > 0) host.feed(0.1 * i, ofSession(id, 5));
      host.ended(0.1 * i + 0.05, id, home, outcome);
    }
    ASSERT_NE(test::sentTo(host.feed(0.7, ofSession("away", 5))), home);
    host.run(90);  // no request in between
    EXPECT_EQ(test::sentTo(host.feed(90.1, ofSession("back", 5))), home);
  }
}

// Guards against answers that are lost on their way, one at a time: the server answers others meanwhile.
TEST(Silence, OneThatLaterOnesHaveOvertakenIsCalledOffAloneAndNoServerIsBlamed) {
  for (const bool overtaken : {true, false}) {
    Host host(test::twoStageSettings());
    host.list(0, {server(1, Role::kPrefill), server(3, Role::kPrefill), server(2, Role::kDecode)});
    const std::uint32_t home = test::sentTo(host.feed(0, ofSession("lost", 5)));
    ASSERT_EQ(test::sentTo(host.feed(0.05, ofSession("next", 5))), home);
    if (overtaken) host.ended(0.15, "next", home, Outcome::kPrefilled), host.streams(0.2, "next", 2);
    EXPECT_TRUE(test::only<CancelAttempt>(host.run(0.4)).empty());
    std::vector<CancelAttempt> cancels = test::only<CancelAttempt>(host.run(0.8));
    EXPECT_EQ(cancels.size(), overtaken ? 1U : 2U);  // a server that is silent to all has both called off
    host.ended(0.81, "lost", home, Outcome::kCancelled);
    EXPECT_NE(test::sentTo(host.last), home);  // tried elsewhere
    EXPECT_EQ(test::sentTo(host.feed(0.82, ofSession("after", 5))) == home, overtaken);
  }
}

// In a jam all reads take long. Another attempt that would come late as well is not worth this one's read:
// only after twice the patience is its reader taken for hung.
TEST(Silence, AnAttemptIsKeptWhileAnotherWouldComeLateAsWell) {
  Settings settings = twoStageSettings();
  settings.classes[0].ttftObjective = Duration(0.7);
  Host host(settings);
  host.list(1, {server(1, Role::kPrefill), server(2, Role::kPrefill), server(3, Role::kDecode)});
  // A quarter of 8,000 tokens is expected to take 0.23 s; after thrice that the aim of 0.7 s has all but
  // passed.
  ASSERT_NE(sentTo(host.feed(1.1, ask("long", 8000, 1))), 0U);
  EXPECT_TRUE(only<CancelAttempt>(host.run(2.4)).empty());
  EXPECT_EQ(only<CancelAttempt>(host.run(2.6)).size(), 1U);
}

// What was called off has taken that long at least: else a jam that calls off all that is slow never shows.
TEST(Silence, WhatWasCalledOffCountsInWhatWorkTakes) {
  Host host(twoStageSettings());
  host.list(0, {server(1, Role::kPrefill), server(2, Role::kPrefill), server(4, Role::kPrefill),
                server(3, Role::kDecode)});
  const std::uint32_t first = sentTo(host.feed(0, ask("a", 100, 1)));
  ASSERT_EQ(only<CancelAttempt>(host.run(0.6)).size(), 1U);  // half of the aim and a little
  host.feed(0.61, AttemptEnded{{"a"}, 0, {first}, Outcome::kCancelled, false, 0, Duration(0.6), {}});
  host.feed(0.62, ClientDisconnected{{"a"}});
  ASSERT_NE(sentTo(host.feed(0.7, ask("b", 100, 2))), 0U);
  EXPECT_TRUE(only<CancelAttempt>(host.run(1.5)).empty());  // 0.5 s after it was sent, and more
}

TEST(Writer, PickedAfterTheReadInTheReadersCell) {
  Host host(twoStageSettings());
  host.list(1, {server(1, Role::kPrefill, 0), server(2, Role::kDecode, 1), server(3, Role::kDecode, 0)});
  EXPECT_EQ(sentTo(host.request(1.1, "a")), 1U);
  EXPECT_TRUE(only<Reserve>(host.all).empty());
  // 1,000 tokens: 5 ms inside the cell against 20 ms and the price of leaving it.
  EXPECT_EQ(sentTo(host.ended(1.2, "a", 1, Outcome::kPrefilled)), 3U);
}

TEST(Writer, FullOneYieldsToTheNextCell) {
  Settings settings = twoStageSettings();
  settings.loadReportSource = LoadReportSource::kProbes;
  settings.probesAllowed = true;
  Host host(settings);
  host.list(1, {server(1, Role::kPrefill, 0), server(2, Role::kDecode, 1), server(3, Role::kDecode, 0)});
  LoadReport full;
  full.memoryUtilization = 0.998;
  host.feed(1.05, ProbeEnded{{3}, Outcome::kOk, Duration(0.001), full});
  host.request(1.1, "a");
  EXPECT_EQ(sentTo(host.ended(1.2, "a", 1, Outcome::kPrefilled)), 2U);
}

// A writer that ages still gives first tokens in time; that its streams do not end tells.
TEST(Writer, WhoseStreamsDoNotEndYields) {
  Host host(twoStageSettings());
  host.list(1, {server(1, Role::kPrefill), server(2, Role::kDecode), server(3, Role::kDecode)});
  double at = 1.1;
  int toSlow = 0, toOther = 0;
  for (int i = 0; i < 60; ++i, at += 0.4) {
    const std::string id = "s" + std::to_string(i);
    const std::uint32_t reader = sentTo(host.request(at, id, 200));
    const std::uint32_t writer = sentTo(host.ended(at + 0.02, id, reader, Outcome::kPrefilled));
    host.streams(at + 0.04, id, writer);
    if (writer == 3) host.ended(at + 0.3, id, writer, Outcome::kOk, true);  // those of writer 2 never end
    host.run(at + 0.39);
    if (i >= 30) (writer == 2 ? toSlow : toOther) += 1;
  }
  EXPECT_LE(toSlow, 2);
  EXPECT_GE(toOther, 28);
}

// To a node that has just started only short answers have ended: that makes no writer slow, and shuts no
// door.
TEST(Writer, ShortAnswersFirstMakeNobodySlow) {
  Host host(twoStageSettings());
  host.list(1, {server(1, Role::kPrefill), server(2, Role::kDecode), server(3, Role::kDecode)});
  double at = 1.1;
  for (int i = 0; i < 40; ++i, at += 0.1) {
    const std::string id = "s" + std::to_string(i);
    ASSERT_EQ(sentTo(host.request(at, id, 200)), 1U) << "request " << i;
    const std::uint32_t writer = sentTo(host.ended(at + 0.02, id, 1, Outcome::kPrefilled));
    host.streams(at + 0.04, id, writer);
    if (i < 4) host.ended(at + 0.06, id, writer, Outcome::kOk, true);  // the others go on
    host.run(at + 0.09);
  }
}

TEST(Mixed, TakesARequestWholeAndReadersServePureWriters) {
  Host host(twoStageSettings());
  host.list(1, {server(1, Role::kMixed)});
  EXPECT_EQ(sentTo(host.request(1.1, "a")), 1U);
  host.streams(1.2, "a", 1);
  EXPECT_TRUE(only<StartAttempt>(host.ended(2, "a", 1, Outcome::kOk, true)).empty());

  Host pair(twoStageSettings());
  pair.list(1, {server(1, Role::kPrefill), server(2, Role::kMixed), server(3, Role::kDecode)});
  pair.request(1.1, "b", 3000);
  const std::uint32_t first = sentTo(pair.last);
  ASSERT_NE(first, 0U);
  if (first == 1) {
    EXPECT_EQ(sentTo(pair.ended(1.3, "b", 1, Outcome::kPrefilled)), 3U);
  }
}

TEST(Writer, ReadsByItselfOnlyWithoutReaders) {
  Settings settings = twoStageSettings();
  settings.decodeCanPrefill = true;
  Host host(settings);
  host.list(1, {server(1, Role::kPrefill), server(2, Role::kDecode)});
  EXPECT_EQ(sentTo(host.request(1.1, "a")), 1U);
  host.list(1.2, {server(1, Role::kPrefill), server(2, Role::kDecode)});
  EngineEntry gone = server(1, Role::kPrefill);
  gone.state = EngineEntry::State::kRemoved;
  host.list(1.3, {gone}, EngineListUpdate::Scope::kDelta);
  EXPECT_EQ(sentTo(host.request(1.4, "b")), 2U);
}

TEST(Life, LostStateIsReadAnew) {
  Host host(twoStageSettings());
  host.list(1, {server(1, Role::kPrefill), server(2, Role::kDecode)});
  host.request(1.1, "a");
  EXPECT_EQ(sentTo(host.ended(1.2, "a", 1, Outcome::kPrefilled)), 2U);
  EXPECT_EQ(sentTo(host.ended(1.3, "a", 2, Outcome::kStateLost)), 1U);
}

TEST(Life, AnotherWriterTakesTheWaitingStateAfterAFailure) {
  Host host(twoStageSettings());
  host.list(1, {server(1, Role::kPrefill), server(2, Role::kDecode), server(3, Role::kDecode)});
  host.request(1.1, "a");
  const std::uint32_t writer = sentTo(host.ended(1.2, "a", 1, Outcome::kPrefilled));
  const std::uint32_t next = sentTo(host.ended(1.3, "a", writer, Outcome::kError));
  EXPECT_EQ(writer + next, 5U);
}

TEST(Life, SilentReaderIsCalledOffAndTheRequestGoesElsewhere) {
  Host host(twoStageSettings());
  host.list(1, {server(1, Role::kPrefill), server(2, Role::kPrefill), server(3, Role::kDecode)});
  const std::uint32_t reader = sentTo(host.request(1.1, "a"));
  const auto cancels = only<CancelAttempt>(host.run(2.4));
  ASSERT_EQ(cancels.size(), 1U);
  EXPECT_EQ(sentTo(host.ended(2.45, "a", reader, Outcome::kCancelled)), 3U - reader);
}

TEST(Life, BrokenStreamIsNotTriedAgain) {
  Host host(twoStageSettings());
  host.list(1, {server(1, Role::kPrefill), server(2, Role::kDecode)});
  host.request(1.1, "a");
  host.ended(1.2, "a", 1, Outcome::kPrefilled);
  host.streams(1.3, "a", 2);
  EXPECT_TRUE(only<StartAttempt>(host.ended(1.5, "a", 2, Outcome::kReset, true)).empty());
}

TEST(Life, EmptyDiscoveryRefusesInTime) {
  Host host(twoStageSettings());
  host.list(1, {}, EngineListUpdate::Scope::kCached);
  host.request(1.1, "a");
  const auto refused = only<RejectRequest>(host.run(2));
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_DOUBLE_EQ(refused[0].retryAfter.count(), 1.0);
  EXPECT_LT(host.now, 1.1 + 4);
}

TEST(Health, ErringServerIsEjectedAndComesBackOnTrial) {
  Host host(twoStageSettings());
  host.list(1, {server(1, Role::kPrefill), server(2, Role::kPrefill), server(3, Role::kDecode)});
  double at = 1.1;
  int sends = 0;
  std::uint32_t bad = 0;  // fails everything: the reader that is picked first
  for (int i = 0; i < 30; ++i, at += 0.05) {
    const std::string id = "r" + std::to_string(i);
    std::uint32_t to = sentTo(host.request(at, id, 200));
    if (bad == 0) bad = to;
    if (to == bad) {
      ++sends;
      to = sentTo(host.ended(at + 0.01, id, bad, Outcome::kError));
    }
    ASSERT_EQ(to, 3U - bad);
    host.ended(at + 0.02, id, to, Outcome::kPrefilled);
    host.streams(at + 0.03, id, 3);
    host.ended(at + 0.04, id, 3, Outcome::kOk, true);
  }
  EXPECT_GT(sends, 0);
  EXPECT_LE(sends, 4) << "two failures eject, one trial a second follows";
}

// A server that leaves one class unanswered and serves the other: the other's success must not hide it, and
// it must not cost the other the server. The same for one that turns one tenant away as full.
// A rack that goes down is not learned of one server at a time.
TEST(Health, SecondServerLostPutsItsCellOnTrial) {
  Host host(twoStageSettings());
  std::vector<EngineEntry> entries = {server(1, Role::kPrefill, 1)};
  for (std::uint32_t id = 2; id <= 6; ++id) entries.push_back(server(id, Role::kDecode, 1));
  entries.push_back(server(9, Role::kDecode, 2));
  host.list(1, entries);
  std::vector<std::uint32_t> tried;
  for (int i = 0; i < 4; ++i) {
    const std::string id = "r" + std::to_string(i);
    const double at = 1.1 + 0.2 * i;
    host.request(at, id);
    std::uint32_t writer = sentTo(host.ended(at + 0.02, id, 1, Outcome::kPrefilled));
    for (int more = 0; more < 5 && writer >= 2 && writer <= 6; ++more) {
      tried.push_back(writer);
      writer = sentTo(host.ended(at + 0.03 + 0.001 * more, id, writer, Outcome::kConnectFailed));
    }
  }
  std::sort(tried.begin(), tried.end());
  tried.erase(std::unique(tried.begin(), tried.end()), tried.end());
  EXPECT_LE(tried.size(), 4U) << "the last of the cell are passed over untried";
}

TEST(Health, IllForOneClassOrTenantOnly) {
  for (const bool byTenant : {false, true}) {
    Settings settings = twoStageSettings();
    settings.classes.push_back(settings.classes[0]);
    if (byTenant) settings.tenants = {{0.5, 0}, {0.5, 0}};
    Host host(settings);
    host.list(1, {server(1, Role::kPrefill), server(2, Role::kPrefill), server(3, Role::kDecode)});
    double at = 1.1;
    int ill = 0, healthy = 0, sends = 0;
    for (int i = 0; i < 40; ++i, at += 0.06) {
      RequestArrived r = ask("r" + std::to_string(i), 200, 1 + static_cast<std::uint64_t>(i));
      const std::size_t part = static_cast<std::size_t>(i % 2);
      if (byTenant)
        r.tenant = part;
      else
        r.classIndex = part;
      std::uint32_t to = sentTo(host.feed(at, r));
      if (to == 1 && part == 0) {
        ++ill;
        to = sentTo(host.ended(at + 0.01, r.id.value, 1, byTenant ? Outcome::kRejected : Outcome::kTimeout));
      }
      healthy += to == 1 && part == 1;
      ++sends;
      host.ended(at + 0.02, r.id.value, to, Outcome::kPrefilled);
      host.streams(at + 0.03, r.id.value, 3);
      host.ended(at + 0.04, r.id.value, 3, Outcome::kOk, true);
      host.tick(at + 0.05);
    }
    EXPECT_LE(ill, 5) << "passed over after a failure or two";
    EXPECT_GE(healthy, 4) << "still serves the other";
  }
}

// Where probes cost by the request they go to the writer that a read will need, and no more than are saved
// up.
TEST(Probes, GoWhereAReadWillNeedThemWithinTheirBudget) {
  Settings settings = twoStageSettings();
  settings.routerCount = 200;
  settings.probesAllowed = true;
  settings.loadReportSource = LoadReportSource::kProbes;
  settings.probeCost = 0.01;
  Host host(settings);
  std::vector<EngineEntry> entries = {server(1, Role::kPrefill, 0)};
  for (std::uint32_t id = 10; id < 60; ++id) entries.push_back(server(id, Role::kDecode, id));
  entries.push_back(server(2, Role::kDecode, 0));
  host.list(1, entries);
  const int requests = 40;
  for (int i = 0; i < requests; ++i) {
    const std::string id = "r" + std::to_string(i);
    const double at = 1.1 + i;
    host.request(at, id, 500);
    for (const Probe& probe : only<Probe>(host.last))
      EXPECT_EQ(probe.engine.value, 2U) << "the reader's cell";
    host.ended(at + 0.05, id, 1, Outcome::kPrefilled);
    host.streams(at + 0.08, id, 2);
    host.ended(at + 0.3, id, 2, Outcome::kOk, true);
    host.run(at + 0.9);
  }
  const std::size_t probes = only<Probe>(host.all).size();
  EXPECT_GT(probes, 10U);
  EXPECT_LE(probes, 18U) << "0.4 a request, and one to begin with";
}

LoadReport queueOf(double requests) {
  LoadReport report;
  report.requestsQueued = requests;
  return report;
}

// A hundred nodes, reports that tell queues; a reader told of one some seconds ago.
Host hostThatHeardOfQueues(double requests, std::vector<EngineEntry> entries) {
  Settings settings = twoStageSettings();
  settings.routerCount = 100;
  settings.probesAllowed = true;
  settings.loadReportSource = LoadReportSource::kResponses;
  Host host(settings);
  host.list(1, std::move(entries));
  host.feed(1.01, ProbeEnded{{1}, Outcome::kOk, Duration(0.001), queueOf(requests)});
  return host;
}

// The most of a reader's queue is other nodes': where readers tell it, the one picked is asked before the
// send.
TEST(Probes, AskTheReaderForItsQueueBeforeTheSend) {
  Host host = hostThatHeardOfQueues(
      2, {server(1, Role::kPrefill), server(2, Role::kPrefill), server(3, Role::kDecode)});
  host.request(3.1, "a");
  ASSERT_TRUE(only<StartAttempt>(host.last).empty());
  ASSERT_EQ(only<Probe>(host.last).size(), 1U);
  const std::uint32_t first = only<Probe>(host.last)[0].engine.value;
  host.feed(3.102, ProbeEnded{{first}, Outcome::kOk, Duration(0.001), queueOf(4)});
  ASSERT_EQ(only<Probe>(host.last).size(), 1U) << "the other one looks better now and is asked too";
  host.feed(3.104, ProbeEnded{{3 - first}, Outcome::kOk, Duration(0.001), queueOf(0)});
  EXPECT_EQ(sentTo(host.last), 3 - first);
  host.request(3.2, "b");
  EXPECT_EQ(sentTo(host.last), 3 - first) << "what is known is not asked again";
}

TEST(Probes, SilentReaderHoldsNobodyUp) {
  Host host = hostThatHeardOfQueues(2, {server(1, Role::kPrefill), server(3, Role::kDecode)});
  host.request(3.1, "a");
  ASSERT_TRUE(only<StartAttempt>(host.last).empty());
  EXPECT_EQ(only<StartAttempt>(host.run(3.15)).size(), 1U);
}

TEST(Probes, ReadersWithoutQueuesAreNotAsked) {
  Host host = hostThatHeardOfQueues(0, {server(1, Role::kPrefill), server(3, Role::kDecode)});
  EXPECT_EQ(sentTo(host.request(3.1, "a")), 1U);
}

TEST(Overload, DeepQueueHoldsRequestsHereAndThenRefuses) {
  Host host(twoStageSettings());
  host.list(1, {server(1, Role::kPrefill), server(2, Role::kDecode)});
  for (int i = 0; i < 20; ++i) host.request(1.1, "r" + std::to_string(i), 2000);
  const std::size_t out = only<StartAttempt>(host.all).size();
  EXPECT_GE(out, 1U);
  EXPECT_LE(out, 4U);
  EXPECT_EQ(only<RejectRequest>(host.run(1.9)).size(), 20 - out) << "none is kept past half of its aim";
}

// A hung or slow reader must not close the door for those that go to other readers.
TEST(Overload, HungAttemptsDoNotCountAsAQueueElsewhere) {
  Settings settings = twoStageSettings();
  settings.routerCount = 100;
  Host host(settings);
  std::vector<EngineEntry> entries = {server(99, Role::kDecode)};
  for (std::uint32_t id = 1; id <= 10; ++id) entries.push_back(server(id, Role::kPrefill));
  host.list(1, entries);
  ASSERT_NE(sentTo(host.feed(1.1, ask("hung", 3000, 1))), 0U);
  host.run(1.4);  // silent, not yet called off
  EXPECT_NE(sentTo(host.feed(1.41, ask("next", 1000, 2))), 0U);
}

// The room of a class worth more keeps queues short; a long prompt that finds none takes nobody's.
TEST(Overload, ALongPromptIsLetInWhileNothingQueues) {
  for (const bool marked : {false, true}) {
    Settings settings = twoStageSettings();
    settings.classes.push_back(settings.classes[0]);
    settings.classes[1].ttftObjective = Duration(4);
    settings.classes[0].priorityWeight = 3;
    Host host(settings);
    host.list(1, {server(1, Role::kPrefill), server(2, Role::kDecode)});
    RequestArrived r = ask("long", 12000, 1);  // 1.2 s of reading: over half of the other class's aim
    r.classIndex = 1;
    r.timeUntilDeadline = Duration(10);
    r.isRetry = marked;
    EXPECT_EQ(sentTo(host.feed(1.1, r)), marked ? 0U : 1U);
    if (marked) continue;
    EXPECT_EQ(sentTo(host.feed(1.12, ask("behind", 9000, 2))), 0U) << "that one would queue";
  }
}

// In a queue the room is judged by the usual prompt, and a longer one gets what it reads beyond that in
// addition: else a jam turns away just the long ones.
TEST(Overload, ALongPromptIsNotTheFirstToGoInAQueue) {
  for (const double prompt : {1000.0, 18000.0}) {  // a quarter of it has to be read: 0.48 s of an aim of 1 s
    Host host(twoStageSettings());
    host.list(1, {server(1, Role::kPrefill), server(2, Role::kDecode)});
    for (int i = 0; i < 4; ++i) {  // 100 tokens each are the usual read
      const std::string id = "usual" + std::to_string(i);
      host.feed(1.1 + 0.1 * i, ask(id, 100, 10 + static_cast<std::uint64_t>(i)));
      host.ended(1.14 + 0.1 * i, id, 1, Outcome::kPrefilled);
      host.streams(1.15 + 0.1 * i, id, 2);
    }
    ASSERT_EQ(sentTo(host.feed(1.6, ask("ahead", 1500, 1))), 1U);  // read first
    EXPECT_EQ(sentTo(host.feed(1.61, ask("next", prompt, 2))), 1U) << prompt;
  }
}

// What the node saw of late is that first tokens come after the aim: nothing more is read until that is over.
TEST(Overload, LetsInByTheExpectedFirstToken) {
  Host host(twoStageSettings());
  host.list(1, {server(1, Role::kPrefill), server(2, Role::kDecode)});
  host.request(1.1, "slow", 100);
  host.ended(1.15, "slow", 1, Outcome::kPrefilled);
  host.run(2.1);
  host.streams(2.12, "slow", 2);  // a writer's wait of about 1 s against an aim of 1 s
  host.tick(2.14);
  EXPECT_EQ(sentTo(host.request(2.15, "b", 100)), 0U);
  const auto refused = only<RejectRequest>(host.run(2.8));
  ASSERT_EQ(refused.size(), 1U) << "answered at half of its aim";
}

TEST(Overload, BeyondItsShareATenantGivesWayFirst) {
  Settings settings = twoStageSettings();
  settings.tenants = {{0.5, 0.01}, {0.5, 100.0}};
  Host host(settings);
  host.list(1, {server(1, Role::kPrefill), server(2, Role::kDecode)});
  // The writer took 0.27 s to a first token: requests inside their share wait for that (up to half of the
  // aim), those beyond it do not (a fifth).
  host.request(1.01, "slow", 100);
  host.ended(1.02, "slow", 1, Outcome::kPrefilled);
  host.streams(1.29, "slow", 2);
  host.tick(1.295);
  for (int i = 0; i < 8; ++i) {  // the first tenant may have one now
    for (std::size_t tenant : {0U, 1U}) {
      RequestArrived r = ask((tenant == 0 ? "beyond" : "within") + std::to_string(i), 100, 0);
      r.tenant = tenant;
      host.feed(1.3, r);
    }
  }
  host.tick(1.32);
  int beyond = 0, within = 0;
  for (const StartAttempt& send : only<StartAttempt>(host.all)) {
    beyond += send.id.value.rfind("beyond", 0) == 0;
    within += send.id.value.rfind("within", 0) == 0;
  }
  EXPECT_LE(beyond, 1);
  EXPECT_GT(within, beyond);
}

// With hundreds of nodes a tenant's part at one of them is a request in many seconds; two that come together
// are chance, not a tenant beyond its share.
TEST(Overload, ChanceAtOneOfManyNodesIsNoTenantBeyondItsShare) {
  Settings settings = twoStageSettings();
  settings.routerCount = 150;
  settings.tenants = {{0.07, 20.0}};
  Host host(settings);
  host.list(1, {server(1, Role::kPrefill), server(2, Role::kDecode)});
  host.request(1.01, "slow", 100);
  host.ended(1.02, "slow", 1, Outcome::kPrefilled);
  host.streams(1.29, "slow", 2);  // what lies beyond a share waits for that, what lies within does not
  host.tick(1.295);
  for (const std::string id : {"a", "b"}) {
    RequestArrived r = ask(id, 100, 0);
    r.tenant = 0;
    EXPECT_NE(sentTo(host.feed(1.3, r)), 0U) << id;
  }
}

}  // namespace
}  // namespace gannetcourse::test
