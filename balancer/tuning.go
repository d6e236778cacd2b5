package balancer

import "time"

// The tuned values of all decisions, each with its reason. Times are in simulated and real time alike.

// Placement: which endpoint serves an object.
const (
	replicationInterval  = 40 * time.Second // fills of an object go to its second home once in this time
	rangeRampTime        = 10 * time.Second // a started endpoint's part of its range rises to all over this
	likelyCachedFor      = 10 * time.Second // what was served this lately is likely still cached
	objectGenerationSize = 1 << 15          // objects remembered in each of two generations
)

// Purges.
const (
	maxPurges   = 1 << 12     // purges remembered; when there are more, all older copies count as purged
	purgeMargin = time.Second // a purge rules out copies for this longer than the settings say
)

// Health scores and ejection.
const (
	slowThreshold      = 0.6                    // slow is over this part of the slack; less: chance moves ranges
	minSlack           = 50 * time.Millisecond  // of a class without a latency objective
	slowScoreFactor    = 0.5                    // a slow response cuts the score to this; more: aging shows late
	quickScoreGain     = 0.1                    // a quick one adds this; more: a fifth may be slow
	fullViewRouters    = 20.0                   // with more routers, each sees few responses of the origin
	minHealthScore     = 0.05                   // some requests must always show that an endpoint has recovered
	scoreRecoveryTime  = 30 * time.Second       // the score recovers over this; less: bad endpoints are retried
	peerScoreRatio     = 0.35                   // under this part of the best peer's score costs range; more: homes move
	originScoreRatio   = 0.3                    // a lower score costs the origin fills; more: rejections on calm days
	silenceTimeout     = 500 * time.Millisecond // an endpoint that owes responses and sends none this long has failed
	ejectAfterFailures = 3                      // failures in a row that eject an endpoint
	probeInterval      = time.Second            // an ejected endpoint gets one attempt in this time
	cacheRejectionTime = 3 * time.Millisecond   // a rejection later than this came from a source, not from the cache
	scanInterval       = 25 * time.Millisecond  // open attempts are checked this often; finer costs CPU
)

// Slow start.
const (
	usualLoadWindow    = 10 * time.Second // the usual load is an average over about this time
	peakLoadWindow     = 60 * time.Second // and its peak decays over this
	warmUpBudgetFactor = 0.85             // part of the rule's budget that we use; over 1 breaks the rule
	warmUpBurstFactor  = 0.2              // part of the overload window for which budget may be saved up
	initialLoadFactor  = 0.5              // part of what clients ask a new instance for, taken as its usual load
	minLeaseLoad       = 1e-3             // of a resolver's clients
)

// Admission and load shedding.
const (
	defaultLimit           = 12.0 // attempts at one cache by all routers, where its link is unknown
	minLimit               = 2.0  // own attempts in flight at a cache or on the link; more: jams in overload
	overloadRatio          = 1.25 // a cache with this times the mean of own attempts in flight
	overloadMargin         = 2.0  // and this many more is overloaded
	cheapAllowance         = 1.3  // bounds are wider by this for requests cheaper than the mean
	clientRetryFactor      = 0.5  // and narrower by this for clients that retry: they are late already
	varianceFactor         = 0.5  // a shared bound is wider by this times the root of our part
	maxLearnedFactor       = 2.5  // a link of unknown capacity may be learned to carry this times defaultLimit
	knownLinkUtilization   = 0.7  // part of the link's capacity that we use where that is known
	learnedLinkUtilization = 0.5  // and where it is only learned, which needs a wider margin
	congestionThreshold    = 1.3  // a response over this times its service time has shared a full link
	linkLearningRate       = 0.4  // how far one response moves the bound of the link
	giveUpFactor           = 2.0  // a queued request is ended with less than this times its service time left
	cacheLimitFactor       = 2.5  // attempts at a cache over the transfers that its link carries
	cacheLimitByLinkPart   = 6.0  // the same over its part of the zone's link, where its own is unknown
	fewCaches              = 6.0  // with fewer caches, a link is wider by the root of this over their number
	linkLimitFactor        = 2.0  // transfers in flight on the zone's link over those that it carries at full speed
)

// Averages.
const (
	initialMissRate    = 0.3                    // of a cache before its first response
	averagingWindow    = 48.0                   // averages reach back about this many requests
	initialServiceTime = 200 * time.Millisecond // of a class before its first response
)

// Salts of the hashes. They must never change: all routers of a site have to agree.
const (
	saltCache  = 0x9e3779b97f4a7c15
	saltHome   = 0xc2b2ae3d27d4eb4f
	saltSecond = 0x165667b19e3779f9
	saltRange  = 0x27d4eb2f165667c5
)

// scanToken is the token of the one timer that the module sets.
const scanToken = 1
