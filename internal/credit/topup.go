package credit

import (
	"crypto/sha256"
	"fmt"
	"slices"
)

// maxTopUpRouters is the highest number of routers that a top-up may be divided among.
const maxTopUpRouters = 1000

// TopUp is a payment from the file of top-ups. A negative amount takes back funds that are not spent.
type TopUp struct {
	ID      string
	Account string
	Amount  int64    // in millionths of a credit
	Routers []string // among which it is divided; must not change once a router has read the top-up
}

func (t TopUp) validate() error {
	switch {
	case t.ID == "" || len(t.ID) > maxNameLength || t.Account == "" || len(t.Account) > maxNameLength:
		return TopUpRejectedError{t.ID, "its id or its account is empty, or over 128 bytes long"}
	case t.Amount == 0 || t.Amount > MaxAmount || t.Amount < -MaxAmount:
		return TopUpRejectedError{t.ID, "its amount is 0, or over a trillion credits"}
	case len(t.Routers) == 0 || len(t.Routers) > maxTopUpRouters:
		return TopUpRejectedError{t.ID, "it is divided among no routers, or among over 1000"}
	}
	for i, router := range t.Routers {
		if router == "" || len(router) > maxNameLength || slices.Contains(t.Routers[:i], router) {
			return TopUpRejectedError{t.ID, "a router that it is divided among has an empty, too long or repeated name"}
		}
	}
	return nil
}

// portion returns a router's portion of a top-up, or 0 if the top-up does not name the router. All portions add up to the
// amount: the first router by name gets the remainder.
func (t TopUp) portion(router string) int64 {
	routers := slices.Sorted(slices.Values(t.Routers))
	index := slices.Index(routers, router)
	if index < 0 {
		return 0
	}
	count := int64(len(routers))
	portion := t.Amount / count
	if index == 0 {
		portion += t.Amount - portion*count
	}
	return portion
}

// fingerprint returns a hash of all fields. It distinguishes top-ups that have the same ID.
func (t TopUp) fingerprint() [sha256.Size]byte {
	routers := slices.Sorted(slices.Values(t.Routers))
	return sha256.Sum256(fmt.Appendf(nil, "%q %q %d %q", t.ID, t.Account, t.Amount, routers))
}

// topUpRegistry holds the top-ups of the latest accepted list, and a record of each top-up that was ever applied.
type topUpRegistry struct {
	listed  []TopUp
	applied map[string]topUpRecord // by ID
}

// validate checks a new list of top-ups. It returns nil or a TopUpRejectedError.
func (r *topUpRegistry) validate(list []TopUp, maxAccounts int) error {
	seen, sums := map[string]bool{}, map[string]int64{}
	for _, t := range list {
		if err := t.validate(); err != nil {
			return err
		}
		if seen[t.ID] {
			return TopUpRejectedError{t.ID, "its id is listed twice"}
		}
		seen[t.ID] = true
		if len(sums) > maxAccounts {
			return TopUpRejectedError{t.ID, "the list names too many accounts"}
		}
		sums[t.Account] += t.Amount
		if sum := sums[t.Account]; sum > MaxAmount || sum < -MaxAmount {
			return TopUpRejectedError{t.ID, "the account's top-ups add up to over a trillion credits"}
		}
		if record, ok := r.applied[t.ID]; ok && record.Fingerprint != t.fingerprint() {
			return TopUpRejectedError{t.ID, "it was applied before with a different account, amount or list of routers"}
		}
	}
	return nil
}

// routers returns the sorted names of all routers that the listed top-ups are divided among, except for one.
func (r *topUpRegistry) routers(except string) []string {
	var names []string
	seen := map[string]bool{except: true}
	for _, t := range r.listed {
		for _, name := range t.Routers {
			if !seen[name] {
				seen[name] = true
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	return names
}

// names reports whether a listed top-up is divided among routers of which one has the given name.
func (r *topUpRegistry) names(router string) bool {
	return slices.ContainsFunc(r.listed, func(t TopUp) bool { return slices.Contains(t.Routers, router) })
}

// ApplyTopUps applies the complete list of top-ups, or applies none of it and returns a TopUpRejectedError. A top-up that
// was applied before is not applied again. Until the identity of the ledger is confirmed, no portion is added.
func (l *Ledger) ApplyTopUps(list []TopUp) error {
	if err := l.topUps.validate(list, l.settings.MaxAccounts); err != nil {
		return err
	}
	l.topUps.listed = slices.Clone(list)
	l.applyListedTopUps()
	return nil
}

// applyListedTopUps adds this router's portions of the listed top-ups that it has not applied yet. It does so only once
// the identity of the ledger is confirmed: until then another ledger may have applied them under this router's name.
func (l *Ledger) applyListedTopUps() {
	for _, t := range l.topUps.listed {
		a := l.account(t.Account) // the account is known from now on, even if only other routers hold its rights
		if _, applied := l.topUps.applied[t.ID]; applied || l.identity.state != identityConfirmed {
			continue
		}
		portion := t.portion(l.settings.Router)
		if portion < 0 { // takes back rights that were withdrawn, too
			l.returnAvailable(a, 0)
		}
		l.topUps.applied[t.ID] = topUpRecord{Fingerprint: t.fingerprint(), Portion: portion}
		l.addRights(a, portion, topUpKey(t.ID))
	}
}
