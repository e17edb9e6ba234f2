// The tuned values of the decision module, all of them, grouped by the module that uses them.
#pragma once

#include <cstddef>

#include "decaying_statistics.h"
#include "gannetcourse/policy.h"
#include "units.h"

namespace gannetcourse::policy {

// ---- Timers ----
/// Period of the housekeeping timer.
inline constexpr Duration kHousekeepingPeriod{0.02};
/// Mean pause before the engine list is subscribed to again after a failure; half to one and a half times it.
inline constexpr Duration kEngineListRetryPause{0.7};
/// Names of the timers: old words, which stay as the simulator's wire and the recorded streams have them.
inline constexpr char kEngineListRetryTimer[] = "ask";
inline constexpr char kHousekeepingTimer[] = "sweep";

// ---- Learned figures ----
/// Time over which learned figures return to their prior.
inline constexpr Duration kLearningDecay{8};
inline constexpr LearningRate kLearning{kLearningDecay, 5, 0.5};
/// Transfer costs are remembered for longer: the layout of racks stays.
inline constexpr LearningRate kLinkLearning{Duration(30), 5, 0.5};
/// How long a sample of one engine counts for all engines of its role.
inline constexpr Duration kPeerSampleAge{4};
/// Smoothing of the averages over a role's engines.
inline constexpr Duration kRoleAverageWindow = kLearningDecay;
/// Mean prompt before any request was seen.
inline constexpr Tokens kPromptPrior = 1000;
/// Mean of a prompt's tokens that no prefix cache has, before any prefill was seen.
inline constexpr Tokens kUncachedPromptPrior = 1000;

// ---- Load reports and load score ----
/// Smoothing of the load score.
inline constexpr Duration kLoadScoreWindow{2};
/// A load report older than this is not used.
inline constexpr Duration kReportMaxAge{5};
/// How long an attempt is taken not to show in the reports yet, and how long a reported queue is current.
inline constexpr Duration kReportLag{1.5};
/// Bounds on reported figures: requests at one engine, ...
inline constexpr double kMaxReportedRequests = 1e4;
/// ... share of slots or memory, a little over 1 where work was accepted beyond them, ...
inline constexpr double kMaxReportedUtilization = 2;
/// ... and prompt tokens that wait at one engine.
inline constexpr Tokens kMaxReportedTokens = 1e8;

// ---- Cost model ----
/// Prefill time of a token before any prefill was seen.
inline constexpr Duration kPrefillCostPrior{1e-4};
/// Share by which one prefill moves the cost of prefills that do not queue.
inline constexpr double kBaseCostStep = 0.1;
/// Odds between a step up and a step down of that cost: it follows the quickest tenth.
inline constexpr double kBaseCostOdds = 9;
/// Fixed cost of a prefill, as tokens.
inline constexpr Tokens kPrefillFixedTokens = 300;
/// An engine is slow from this multiple of the prefill cost of its peers.
inline constexpr double kSlowPrefillFactor = 1.7;
/// Wait for a first token at a decode engine before any was seen.
inline constexpr Duration kFirstTokenWaitPrior{0.05};
/// Transfer time of a token of state: inside the cell, inside the zone, beyond it.
inline constexpr Duration kTransferCostPrior[] = {Duration(5e-6), Duration(2e-5), Duration(4e-5)};
/// Cost of leaving the cell, and again of leaving the zone.
inline constexpr Duration kDistanceCost{0.02};

// ---- Prefix affinity ----
/// Time over which cached prefixes are taken to be displaced.
inline constexpr Duration kCachedPrefixDecay{60};
/// Entries of a prefix table before old ones are dropped.
inline constexpr std::size_t kMaxPrefixEntries = 50000;
/// Share of a prompt taken to be cached at its preferred engine.
inline constexpr double kPreferredEngineCachedFraction = 0.75;
/// Odds of an engine of this router's zone to be preferred, against one elsewhere.
inline constexpr double kOwnZoneOdds = 3;
/// How long a request counts for the popularity of its shared prefix.
inline constexpr Duration kPopularityDecay{60};
/// Requests with other prefixes that are taken as seen.
inline constexpr double kPopularityPrior = 4;
/// An entry with less than this many requests left is dropped.
inline constexpr double kMinPopularity = 0.5;
/// Preferred engines of a shared prefix, against its share of the requests times the prefill engines.
inline constexpr double kPreferredEngineSpread = 1.5;

// ---- Selection of engines ----
/// Cost of a prefill engine's load score of 1.
inline constexpr Duration kLoadScoreCost{0.1};
/// Weight of the prefill of tokens that are not cached, for the cached text that it displaces.
inline constexpr double kCacheMissWeight = 1;
/// Cost of using an engine for what is not its main work.
inline constexpr Duration kLastResortCost{100};
/// Memory of an engine that is listed without it.
inline constexpr Tokens kEngineMemoryPrior = 2e5;
/// Share of its memory from which a decode engine is avoided.
inline constexpr double kMemoryNearlyFull = 1.0;
/// Cost of a decode engine that is to be avoided, as a share of the shortest objective.
inline constexpr double kAvoidanceCostFactor = 0.3;
/// Cost of one memory's worth of tokens beyond that share.
inline constexpr Duration kOverfillCost{3};
/// Added to a decode engine's load score before it scales the expected wait.
inline constexpr double kLoadScoreOffset = 0.5;

// ---- Stream pace ----
/// Time over which a decode engine's pace is judged.
inline constexpr Duration kPaceWindow{10};
/// Streams of typical length that are taken as seen.
inline constexpr double kPacePrior = 4;
/// Share by which one stream moves the typical length of its class.
inline constexpr double kPaceStep = 0.05;
/// A decode engine is slow from this multiple of the median pace.
inline constexpr double kSlowPace = 3;

// ---- Admission ----
/// A request is admitted while its first token is expected within this share of its headroom.
inline constexpr double kAdmissionFactor = 0.5;
/// A prompt is long from this multiple of the mean of uncached tokens.
inline constexpr double kLongPromptFactor = 3;
/// Mean prompts in flight of all routers at one engine below which nothing queues there.
inline constexpr double kNoQueuePrompts = 0.25;
/// Share of the headroom that is left for traffic over its tenant's quota.
inline constexpr double kOverQuotaHeadroom = 0.4;
/// Time's worth of its quota that a tenant may use at once ...
inline constexpr Duration kQuotaBurst{4};
/// ... and standard deviations of chance on top of that.
inline constexpr double kQuotaDeviations = 3;
/// Requests that may stay in the queue before a pass over it ends.
inline constexpr int kMaxQueuedTried = 16;

// ---- Attempts ----
/// Timeout of an attempt against its expected duration.
inline constexpr double kTimeoutFactor = 3;
/// ... and at least this share of the request's time to first token objective.
inline constexpr double kTimeoutObjectiveFactor = 0.5;
/// Share of the remaining time that one attempt may take while another could follow.
inline constexpr double kRetryTimeFactor = 0.6;
/// Failed decode attempts after which a state is released and the prompt prefilled anew.
inline constexpr int kMaxDecodeFailures = 3;
/// A state is released at this share of the lease limit.
inline constexpr double kStateLeaseFactor = 0.6;
/// Time that a machine may stall between a decision and its write.
inline constexpr Duration kSendDelayAllowance{0.15};
/// Added to the margin before a deadline for timers that fire late.
inline constexpr Duration kDeadlineMargin{0.002};
/// Expected output tokens are the requested maximum divided by this.
inline constexpr double kMaxToExpectedOutput = 3;

// ---- Engine health ----
/// Decay time of failure scores.
inline constexpr Duration kFailureDecay = kLearningDecay;
/// Failure score from which an engine is ejected.
inline constexpr double kEjectionScore = 0.5;
/// Score from which an engine is half-open: one attempt at a time, as a trial.
inline constexpr double kHalfOpenScore = kEjectionScore / 2;
/// Steps of a failure score. One connection may be reset by itself; a process that has ended breaks several
/// and accepts no new ones.
inline constexpr double kFailureSteps = 1;
inline constexpr double kSilenceSteps = 2;
inline constexpr double kResetSteps = 1;
inline constexpr double kConnectFailedSteps = 2;
inline constexpr double kCellSuspicionSteps = 1;
/// What a failure adds to it; silence and lost contact add twice that.
inline constexpr double kFailureStep = 0.34;
/// Upper limit of it.
inline constexpr double kMaxFailureScore = 1.4;
/// An engine that answered within this time is not suspected along with its cell.
inline constexpr Duration kCellSuspicionQuiet{0.3};
/// Share of a failure score that a success leaves.
inline constexpr double kSuccessFactor = 0.6;

// ---- Slow start ----
/// Requests a window, of all routers together, that a warming engine bears in any case.
inline constexpr double kUnknownCapacityRequests = 2;
/// How long the peak rate of a role is remembered.
inline constexpr Duration kPeakRateDecay{60};
/// A start that is reported as a change later than this is not believed.
inline constexpr Duration kMaxStartAge{12};

// ---- Probing ----
/// Prefill engines that one request may have probed for their queue.
inline constexpr int kMaxQueueProbes = 2;
/// Mean reported queue, in requests, from which such a probe is sent.
inline constexpr double kMinReportedQueue = 0.2;
/// How long a request waits for its answer.
inline constexpr Duration kQueueProbeWait{0.01};
/// Least time between two probes of one engine.
inline constexpr Duration kProbeInterval{0.4};
/// Share of the result that probes of decode engines may cost; the same for prefill engines that report
/// queues.
inline constexpr double kProbeBudget = 0.004;
/// Probes that may be saved up.
inline constexpr double kMaxSavedProbes = 4;

}  // namespace gannetcourse::policy
