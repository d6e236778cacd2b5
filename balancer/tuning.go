package balancer

import "time"

// This file holds the tuned values of all decisions, each with its reason. Times apply to simulated and real time alike.

// Placement of objects on endpoints.
const (
	replicationInterval  = 40 * time.Second // fills of an object go to its second home once per this time
	rangeRampTime        = 10 * time.Second // time over which a started endpoint comes to serve its whole range
	likelyCachedFor      = 10 * time.Second // an object served within this time is likely still cached
	objectGenerationSize = 1 << 15          // objects remembered in each of two generations
)

// Purges.
const (
	maxPurges   = 1 << 12     // purges remembered; with more, all copies older than the newest excess purge count as purged
	purgeMargin = time.Second // a purge excludes copies for this much longer than Settings.PurgeWindow
)

// Health scores and ejection.
const (
	slowThreshold      = 0.6                    // a response over this part of the slack is slow; if lower, chance moves ranges
	minSlack           = 50 * time.Millisecond  // for a class without a latency objective
	slowScoreFactor    = 0.5                    // a slow response multiplies the score by this; if higher, aging shows late
	quickScoreGain     = 0.1                    // added by a quick response; if higher, a fifth of responses may be slow
	originScoreRouters = 20.0                   // with more routers than this, each sees few responses of the origin
	minHealthScore     = 0.05                   // some requests must always show whether an endpoint has recovered
	scoreRecoveryTime  = 30 * time.Second       // time until a score has recovered; if shorter, bad endpoints are retried
	peerScoreRatio     = 0.35                   // a score under this part of the best peer's loses range; if higher, homes move
	originScoreRatio   = 0.3                    // under this score, the origin loses fills; if higher, calm days see rejections
	silenceTimeout     = 500 * time.Millisecond // an endpoint that owes responses and sends none for this long has failed
	ejectAfterFailures = 3                      // consecutive failures that eject an endpoint
	probeInterval      = time.Second            // an ejected endpoint gets one attempt per this time
	cacheRejectionTime = 3 * time.Millisecond   // a rejection after more than this came from a source, not from the cache
	scanInterval       = 25 * time.Millisecond  // interval at which open attempts are checked; a shorter one costs CPU time
)

// Slow start.
const (
	usualLoadWindow    = 10 * time.Second // the usual load is averaged over about this time
	peakLoadWindow     = 60 * time.Second // the peak of the usual load decays over this time
	warmUpBudgetFactor = 0.85             // part of the rule's budget that is used; above 1 would break the rule
	warmUpBurstFactor  = 0.2              // part of the overload window over which unused budget accumulates
	initialLoadFactor  = 0.5              // part of the load that clients request, taken as a young router's usual load
	minLeaseLoad       = 1e-3             // minimum load counted for a resolver's clients, in seconds of service time per second
)

// Admission and load shedding.
const (
	defaultLimit           = 12.0 // all routers' attempts at a cache or transfers on the link, if its capacity is unknown
	minLimit               = 2.0  // least limit of a router at a cache or on the link; if higher, overload congests links
	overloadRatio          = 1.25 // a cache is overloaded at this times the mean number of the router's attempts in flight
	overloadMargin         = 2.0  // plus this number
	cheapAllowance         = 1.3  // limits are multiplied by this for requests cheaper than the mean
	clientRetryFactor      = 0.5  // the link limit is multiplied by this for clients' retries, which are already late
	varianceFactor         = 0.5  // a shared limit is higher by this times the root of the router's part
	maxLearnedFactor       = 2.5  // the learned limit of a link of unknown capacity is at most this times the initial one
	knownLinkUtilization   = 0.7  // target part of the link's capacity where that is known
	learnedLinkUtilization = 0.5  // the same where the capacity is learned, which needs a wider margin
	congestionThreshold    = 1.3  // a response that took over this times its service time has shared a full link
	linkLearningRate       = 0.4  // fraction of the difference by which one response moves the link limit
	giveUpFactor           = 2.0  // a queued request is ended with less than this times its service time left
	cacheLimitFactor       = 2.5  // attempts in flight at a cache per transfer that its link carries at full speed
	cacheLimitByLinkPart   = 6.0  // the same per transfer of its part of the zone's link, where its own link is unknown
	fewCaches              = 6.0  // with fewer caches, cacheLimitByLinkPart is divided by the root of this over their number
	linkLimitFactor        = 2.0  // transfers in flight on the zone's link per transfer that it carries at full speed
)

// Averages.
const (
	initialMissRate    = 0.3                    // of a cache before its first response
	averagingWindow    = 48.0                   // averages reach back over about this many requests
	initialServiceTime = 200 * time.Millisecond // of a class before its first response
)

// Salts of the hashes. They must never change, because all routers of a site must compute the same hashes.
const (
	saltCache      = 0x9e3779b97f4a7c15
	saltHome       = 0xc2b2ae3d27d4eb4f
	saltSecondHome = 0x165667b19e3779f9
	saltRange      = 0x27d4eb2f165667c5
)

// scanToken is the token of the only timer that the balancer sets.
const scanToken = 1
