// The tuned values of the decision module, all of them. Times in seconds.
#pragma once

#include <cstddef>

namespace gannetcourse {

constexpr double kSweep = 0.02;           // period of the housekeeping timer
constexpr double kScoreWindow = 2;        // smoothing of the load score's indicators
constexpr double kReportFresh = 5;        // a load report older than this says nothing
constexpr double kForget = 8;             // learned figures fade towards their peers' over this
constexpr double kMemory = 5;             // samples that a learned figure averages over
constexpr double kPriorWeight = 0.5;      // samples that the peers' figure counts for
constexpr double kReadPrior = 1e-4;       // reading, a token
constexpr double kBaseStep = 0.1;         // how far one read moves the cost of those that do not wait
constexpr double kReadFloorTokens = 300;  // a read's fixed cost, as tokens
constexpr double kOutlier = 1.7;          // a reader this much slower than its peers counts as slow
constexpr double kSeen = 4;               // how long a sample tells of all servers of its role
constexpr double kScoreTime = 0.1;        // what a reader's load score of 1 weighs
constexpr double kMissWeight = 1;         // what reading a token anew costs those who come after
constexpr double kWaitPrior = 0.05;       // a writer's wait before the first token
constexpr double kLinkPrior[] = {5e-6, 2e-5, 4e-5};  // a state's move, a token: cell, zone, beyond
constexpr double kLinkForget = 30;        // how long what a link takes counts: the layout of racks stays
constexpr double kFarBias = 0.02;         // prices of leaving the cell or the zone, as time
constexpr double kKeepFor = 60;           // ageing of the prefix table
constexpr std::size_t kMostKept = 50000;  // its entries before old ones are dropped
constexpr double kHomeKeeps = 0.75;       // share of a prompt taken to be kept at its session's home
constexpr double kNearHome = 3;           // odds that a home lies in our zone, a server
constexpr double kPopular = 60;           // how long a request counts for the popularity of its shared text
constexpr double kPopularPrior = 4;       // requests for other texts that are taken as seen
constexpr double kHomesSpread = 1.5;  // homes of a shared text against its part of the requests, in readers
constexpr double kMemoryPrior = 2e5;  // tokens, of a server that does not tell its memory
constexpr double kHoldShare = 0.6;    // of the time that a state may stay held that it waits for a writer
constexpr double kLastResort = 100;   // cost of having a pure writer read
constexpr int kMostHeldTried = 16;    // requests that may stay before a pass over our queue ends
constexpr double kNearlyFull = 1.0;   // a writer's memory share from which it yields
constexpr double kYieldShare = 0.3;   // cost of a writer that should yield, of the shortest aim
constexpr double kPaceMemory = 10;    // seconds of streams that a writer's pace is judged by
constexpr double kPacePrior = 4;      // streams of the usual length that are taken as seen
constexpr double kPaceStep = 0.05;    // how far one answer moves what is usual for its class
constexpr double kSlowPace = 3;       // a writer whose streams last this much longer than usual is slow
constexpr double kLetIn = 0.5;        // of its aim that a first token may be expected to take to be let in
constexpr double kLongRead = 3;       // usual reads beyond which what a prompt reads is no queue
constexpr double kNoQueue = 0.25;     // mean prompts that all nodes have at a reader below which none queues
constexpr double kOverShareRoom = 0.4;  // ... and of that, for those beyond their tenant's share
constexpr double kShareSpan = 4;        // seconds of its share that a tenant may ask for at once
constexpr double kShareChance = 3;      // ... and deviations of chance round that
constexpr double kRecent = 1.5;         // how long a send is taken not to show in the reports yet
constexpr double kTimeoutFactor = 3;    // a time-out against the time expected of the work
constexpr double kSilentShare = 0.5;    // ... and, at least, against the request's aim
constexpr double kTryShare = 0.6;      // of the time left that one attempt may take while others could follow
constexpr double kEjectAt = 0.5;       // illness from which a server is passed over
constexpr double kFailureStep = 0.34;  // what a failure adds to it; silence and lost contact add twice that
constexpr double kMostIll = 1.4;       // the most that it can be
constexpr double kSuspectAfter = 0.3;  // a server that answered since is not suspected with its cell
constexpr double kHealing = 0.6;       // share of it that a success leaves
constexpr double kColdUnknown = 2;     // requests a window, of all nodes, that a cold server bears surely
constexpr double kColdMemory = 60;     // how long the most that servers took is remembered
constexpr int kMostLooks = 2;          // readers that a request may ask for their queue
constexpr double kLookFrom = 0.2;      // requests told in readers' queues from which it is worth asking
constexpr double kLookTime = 0.01;     // how long it waits for the answer
constexpr double kFreshPrior = 1000;   // tokens of a prompt that must be read
constexpr double kProbeOften = 0.4;    // a server is probed no more often than this
constexpr double kProbeBudget = 0.004;   // result that asking writers may cost, and readers that tell queues
constexpr double kMostProbes = 4;        // probes that may be saved up
constexpr double kHoldUp = 0.15;         // between a decision and its write a machine may be held up for this
constexpr double kStartToldWithin = 12;  // a start told as a change that is older than this is not believed
constexpr char kDiscoveryRetryTimer[] = "ask";
constexpr char kHousekeepingTimer[] = "sweep";
constexpr double kAskAgain = 0.7;  // pause after a failed discovery call

}  // namespace gannetcourse
