// All tuned values of the decision module, grouped by the module that uses them.
#pragma once

#include <cstddef>

#include "decaying_statistics.h"
#include "gannetcourse/policy.h"
#include "units.h"

namespace gannetcourse::policy {

// ---- Timers ----
/// Period of the housekeeping timer.
inline constexpr Duration kHousekeepingPeriod{0.02};
/// Mean pause before resubscribing to the engine list after a failure. The pause is drawn from 0.5 to 1.5
/// times it.
inline constexpr Duration kEngineListRetryPause{0.7};
/// Names of the timers. They must not change: the simulator's protocol and the recorded streams contain them.
inline constexpr char kEngineListRetryTimer[] = "ask";
inline constexpr char kHousekeepingTimer[] = "sweep";

// ---- Learned figures ----
/// Time in which the weight of a learned figure's samples falls to 1/e, so that it returns to its prior.
inline constexpr Duration kLearningDecay{8};
inline constexpr LearningRate kLearning{kLearningDecay, 5, 0.5};
/// Transfer costs decay more slowly, because the layout of racks does not change.
inline constexpr LearningRate kLinkLearning{Duration(30), 5, 0.5};
/// How long a sample of one engine counts for the priors of all engines of its role.
inline constexpr Duration kPeerSampleAge{4};
/// Time constant of the averages over a role's engines.
inline constexpr Duration kRoleAverageWindow = kLearningDecay;
/// Prior of the mean prompt length.
inline constexpr Tokens kPromptPrior = 1000;
/// Prior of the mean number of uncached tokens per prompt.
inline constexpr Tokens kUncachedPromptPrior = 1000;

// ---- Load reports and load score ----
/// Time constant of the load score.
inline constexpr Duration kLoadScoreWindow{2};
/// A load report older than this is not used.
inline constexpr Duration kReportMaxAge{5};
/// How long an attempt is assumed to be missing in load reports, and how long a reported queue counts as
/// current.
inline constexpr Duration kReportLag{1.5};
/// Upper bound on a reported number of requests at one engine.
inline constexpr double kMaxReportedRequests = 1e4;
/// Upper bound on a reported share of slots or memory. The share is slightly above 1 if the engine has
/// accepted more work than fits.
inline constexpr double kMaxReportedUtilization = 2;
/// Upper bound on a reported number of queued prompt tokens at one engine.
inline constexpr Tokens kMaxReportedTokens = 1e8;

// ---- Cost model ----
/// Prior of the prefill time per token.
inline constexpr Duration kPrefillCostPrior{1e-4};
/// Step, as a share of the difference, by which a faster prefill lowers the base cost (prefill time per token
/// without queueing).
inline constexpr double kBaseCostStep = 0.1;
/// Ratio of a step down to a step up of the base cost. With 9, it follows the fastest tenth of the prefills.
inline constexpr double kBaseCostStepRatio = 9;
/// Fixed cost of a prefill, in tokens.
inline constexpr Tokens kPrefillFixedTokens = 300;
/// An engine counts as slow above this multiple of the median prefill cost of its peers.
inline constexpr double kSlowPrefillFactor = 1.7;
/// Prior of the wait for a first token at a decode engine.
inline constexpr Duration kFirstTokenWaitPrior{0.05};
/// Prior of the time by which attempts take longer than expected.
inline constexpr Duration kDelayPrior{0.1};
/// Prior of the transfer time per token of state: within a cell, within a zone, between zones (LinkKind).
inline constexpr Duration kTransferCostPrior[] = {Duration(5e-6), Duration(2e-5), Duration(4e-5)};
/// Cost of a prefill engine in another zone than the router: zones are cut off from each other at times.
inline constexpr Duration kOtherZoneCost{0.02};

// ---- Prefix affinity ----
/// Decay time of the estimated cached tokens, because engines evict cached prefixes.
inline constexpr Duration kCachedPrefixDecay{60};
/// Number of entries of a prefix table above which old ones are dropped, and then at least down to
/// kPrefixEntriesKept if too few are old.
inline constexpr std::size_t kMaxPrefixEntries = 50000;
inline constexpr std::size_t kPrefixEntriesKept = kMaxPrefixEntries / 4 * 3;
/// Share of a prompt that is assumed to be cached at its preferred engine.
inline constexpr double kPreferredEngineCachedFraction = 0.75;
/// Hashing weight of engines in this router's zone; engines in other zones weigh 1.
inline constexpr double kOwnZoneWeight = 3;
/// Decay time of the popularity of shared prefixes.
inline constexpr Duration kPopularityDecay{60};
/// Number of requests added to the total as a prior, which keeps popularity low after few requests.
inline constexpr double kPopularityPrior = 4;
/// Prefixes with fewer decayed requests than this are dropped.
inline constexpr double kMinPopularity = 0.5;
/// Number of preferred engines of a shared prefix, relative to its share of the requests times the number of
/// prefill engines.
inline constexpr double kPreferredEngineSpread = 1.5;

// ---- Selection of engines ----
/// Cost of a load score of 1 at a prefill engine.
inline constexpr Duration kLoadScoreCost{0.1};
/// Extra cost of uncached tokens, relative to their prefill time, because they evict cached prefixes.
inline constexpr double kCacheMissWeight = 1;
/// Cost of using an engine for work that its role does not primarily do.
inline constexpr Duration kLastResortCost{100};
/// Memory assumed for an engine that is listed without it.
inline constexpr Tokens kEngineMemoryPrior = 2e5;
/// A decode engine is avoided if more than this share of its memory is in use. The share can exceed 1, see
/// kMaxReportedUtilization.
inline constexpr double kMemoryNearlyFull = 1.0;
/// Cost of exceeding kMemoryNearlyFull by the engine's whole memory; a smaller excess costs proportionally
/// less.
inline constexpr Duration kOverfillCost{3};
/// Added to a decode engine's load score; the sum is multiplied by the expected wait.
inline constexpr double kLoadScoreOffset = 0.5;

// ---- Stream pace ----
/// Decay time of PerformanceRecord::streamedLengths and completedStreams.
inline constexpr Duration kPaceWindow = kLearningDecay;
/// Number of streams of typical length added as a prior.
inline constexpr double kPacePrior = 4;
/// Share by which one completed stream changes the typical length of its class.
inline constexpr double kPaceStep = 0.05;
/// Prior of the duration of a stream.
inline constexpr Duration kStreamLengthPrior{5};
/// A decode engine is slow above this multiple of the median stream length.
inline constexpr double kSlowPace = 3;

// ---- Admission ----
/// Longest time for which arrivals are remembered.
inline constexpr Duration kMaxDemandSpan{60};
/// Time in which the weight of what was started falls to 1/e in the learned service rate.
inline constexpr Duration kServiceRateWindow{2};
/// Number of usual requests that the prior of the service rate counts for.
inline constexpr double kServiceRatePriorRequests = 4;
/// A tenant's burst is its quota for this time ...
inline constexpr Duration kQuotaBurst{4};
/// ... plus this many standard deviations of the number of requests in that time.
inline constexpr double kQuotaDeviations = 3;
/// A pass over the queue ends after this many requests that could not be started.
inline constexpr int kMaxUndispatchedPerPass = 16;

// ---- Attempts ----
/// An attempt is late after this multiple of its expected or typical duration, whichever is longer, and of
/// the usual delay.
inline constexpr double kTimeoutFactor = 3;
/// Number of failed decode attempts after which the state is released and the prompt is prefilled again.
inline constexpr int kMaxDecodeFailures = 3;
/// A state is released at this share of the lease limit.
inline constexpr double kStateLeaseFactor = 0.6;
/// Longest stall of the machine assumed between the decision to send a request and its sending.
inline constexpr Duration kSendDelayAllowance{0.15};
/// Part of the margin that a final response keeps before the deadline, because timers may fire late.
inline constexpr Duration kDeadlineMargin{0.002};
/// Ratio of the requested maximum of output tokens to the expected number.
inline constexpr double kMaxToExpectedOutput = 3;

// ---- Engine health ----
/// Decay time of failure scores.
inline constexpr Duration kFailureDecay = kLearningDecay;
/// An engine is ejected at this failure score or above.
inline constexpr double kEjectionScore = 0.5;
/// From this failure score up to ejection an engine is half-open: it gets one attempt at a time, as a trial.
inline constexpr double kHalfOpenScore = kEjectionScore / 2;
/// Steps added to a failure score when an attempt fails, unless one of the following cases applies.
inline constexpr double kFailureSteps = 1;
/// Steps added to the failure score for an attempt without an answer before its timeout.
inline constexpr double kSilenceSteps = 2;
/// Steps added to the failure score for a reset connection. The number is small because a single reset may be
/// harmless. If the engine's process has ended, further resets and refused connections follow.
inline constexpr double kResetSteps = 1;
/// Steps added to the failure score for a connection that could not be established.
inline constexpr double kConnectFailedSteps = 2;
/// Steps added to the suspicion of an engine when contact to other engines of its cell is lost.
inline constexpr double kCellSuspicionSteps = 1;
/// Amount that one step adds to a failure score.
inline constexpr double kFailureStep = 0.34;
/// Upper limit of a failure score.
inline constexpr double kMaxFailureScore = 1.4;
/// An engine that has answered within this time is not suspected when contact to its cell is lost.
inline constexpr Duration kCellSuspicionMinSilence{0.3};
/// Factor that a success applies to a failure score.
inline constexpr double kSuccessFactor = 0.6;

// ---- Slow start ----
/// Requests per slowStartWindow, from all routers together, that an engine in slow start can always serve.
inline constexpr double kUnknownCapacityRequests = 2;
/// Decay time of the peak rate of a role.
inline constexpr Duration kPeakRateDecay{60};

// ---- Probing ----
/// Number of queue probes of prefill engines per request.
inline constexpr int kMaxQueueProbes = 2;
/// Queue probes are sent while the mean reported queue is at least this, in requests.
inline constexpr double kMinReportedQueue = 0.2;
/// How long a request waits for the answer to a queue probe.
inline constexpr Duration kQueueProbeWait{0.01};
/// Minimum time between two probes of one engine.
inline constexpr Duration kProbeInterval{0.4};
/// Probes of decode engines per request, on average, and of prefill engines if they report queues. A probe
/// takes an engine's time and tells only about that engine.
inline constexpr double kProbesPerRequest = 1.0 / 3;
/// Maximum number of probes that a budget may accumulate.
inline constexpr double kMaxSavedProbes = 4;

}  // namespace gannetcourse::policy
