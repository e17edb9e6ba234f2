// Faults put into a node on purpose, to prove that the audit catches each by its own count. Never in the
// product.
#include <map>
#include <random>
#include <set>
#include <stdexcept>

#include "play.h"

namespace gannetcourse::lab {
namespace {

using Commands = std::vector<router::Command>;

// Lets one in `every` of what it is asked through.
class OneIn {
 public:
  explicit OneIn(int every) : every_(every) {}
  bool operator()() { return ++count_ % every_ == 0; }

 private:
  int every_, count_ = 0;
};

// A served answer comes only after the client's time, instead of when it was due.
Tamper lateAnswers(const Day& day) {
  double longest = 0;
  for (const DayClass& c : day.classes) longest = std::max(longest, c.deadline);
  return [pick = OneIn(10), longest](node::Node& node, Commands& commands) mutable {
    for (auto it = commands.begin(); it != commands.end();) {
      const auto* answer = std::get_if<router::Answer>(&*it);
      if (answer == nullptr || !pick()) {
        ++it;
        continue;
      }
      node.loop().after(Duration(longest + 0.5), [&node, late = *answer] { node.carryOut(late); });
      it = commands.erase(it);
    }
  };
}

// Two answers to a stream that has begun.
Tamper secondAnswers() {
  return [pick = OneIn(10)](node::Node& node, Commands& commands) mutable {
    for (const router::Command& c : commands) {
      const auto* answer = std::get_if<router::Answer>(&c);
      if (answer != nullptr && answer->verdict == router::Verdict::kServed && pick())
        node.answerTwice(answer->request);
    }
  };
}

// An answer never comes.
Tamper lostAnswers() {
  return [pick = OneIn(10)](node::Node&, Commands& commands) mutable {
    std::erase_if(commands, [&](const router::Command& c) {
      return std::holds_alternative<router::Answer>(c) && pick();
    });
  };
}

// Each read goes out twice.
Tamper doubleAttempts() {
  return [pick = OneIn(5), key = router::CallKey{1} << 40](node::Node&, Commands& commands) mutable {
    Commands more;
    for (const router::Command& c : commands) {
      if (const auto* write = std::get_if<router::StartWrite>(&c); write != nullptr && pick()) {
        router::StartWrite again = *write;
        again.call = ++key;
        more.emplace_back(again);
      }
    }
    commands.insert(commands.end(), more.begin(), more.end());
  };
}

// The write after a read starts late, so that its state lies about.
Tamper lateReleases(const Day& day) {
  return [pick = OneIn(10), wait = Duration(2 * day.pinLimit + 0.5)](node::Node& node,
                                                                     Commands& commands) mutable {
    for (auto it = commands.begin(); it != commands.end();) {
      const auto* write = std::get_if<router::StartWrite>(&*it);
      if (write == nullptr || !pick()) {
        ++it;
        continue;
      }
      node.loop().after(wait, [&node, late = *write] { node.carryOut(late); });
      it = commands.erase(it);
    }
  };
}

// Once an engine of a kind was used, later calls of that kind go there, whatever the list says.
Tamper sendsAfterDrain() {
  return [reader = std::optional<ServerId>(), pick = OneIn(4)](node::Node&, Commands& commands) mutable {
    for (router::Command& c : commands) {
      auto* read = std::get_if<router::StartRead>(&c);
      if (read == nullptr) continue;
      if (!reader) reader = read->engine;
      if (pick()) read->engine = *reader;
    }
  };
}

// Tokens are lost on the way.
Tamper lostTokens() {
  return [pick = OneIn(200)](node::Node&, Commands& commands) mutable {
    std::erase_if(commands, [&](const router::Command& c) {
      return std::holds_alternative<router::Deliver>(c) && pick();
    });
  };
}

}  // namespace

Tamper tamperFor(const std::string& breakage, const Day& day) {
  if (breakage.empty()) return {};
  if (breakage == "second-answer") return secondAnswers();
  if (breakage == "late-answer") return lateAnswers(day);
  if (breakage == "lost-answer") return lostAnswers();
  if (breakage == "double-attempt") return doubleAttempts();
  if (breakage == "late-release") return lateReleases(day);
  if (breakage == "send-after-drain") return sendsAfterDrain();
  if (breakage == "lost-token") return lostTokens();
  throw std::invalid_argument("unknown breakage '" + breakage + "'");
}

}  // namespace gannetcourse::lab
