package sched

import "fmt"

// OfferError reports a malformed or unacceptable offer, release or
// announcement, which has changed no state.
type OfferError struct {
	ID      ID
	Message string
	Remedy  string
}

// Error returns the message followed by the remedy.
func (e *OfferError) Error() string {
	return fmt.Sprintf("request %s/%d: %s; %s", e.ID.Entry, e.ID.Number, e.Message, e.Remedy)
}

// checkOffer returns an OfferError for a malformed offer.
func checkOffer(o Offer) error {
	if o.ID.Entry == "" {
		return &OfferError{ID: o.ID, Message: "the entry is missing", Remedy: "name the entry that holds the request"}
	}
	if o.PromptTokens < 0 || o.MaxTokens < 0 {
		return &OfferError{ID: o.ID, Message: "a token count is negative", Remedy: "send counts of zero or more"}
	}
	if o.Weight < 1 {
		return &OfferError{ID: o.ID, Message: "the weight is below 1", Remedy: "take it from the configuration in force"}
	}
	if o.Tier < 0 || o.Tier >= maxTiers {
		return &OfferError{ID: o.ID, Message: "the tier is unknown", Remedy: "take it from the configuration in force"}
	}
	if err := o.Limits.Validate(); err != nil {
		return &OfferError{ID: o.ID, Message: err.Error(), Remedy: "apply a corrected configuration"}
	}
	return nil
}

// checkRelease returns an OfferError for a malformed release.
func checkRelease(r Release) error {
	if r.Outcome < Completed || r.Outcome > ConnectionLost {
		return &OfferError{ID: r.ID, Message: "the outcome is unknown", Remedy: "send one of the declared outcomes"}
	}
	if r.Prefill < 0 || r.Decode < 0 || r.OutputTokens < 0 || r.CachedTokens < 0 {
		return &OfferError{ID: r.ID, Message: "an observation is negative", Remedy: "send durations and counts of zero or more"}
	}
	return nil
}

// checkUpstream returns an OfferError for a malformed announcement.
func checkUpstream(a Upstream) error {
	if a.Name == "" || a.Slots < 1 || a.Lease <= 0 {
		return &OfferError{Message: "the announcement of " + a.Name + " lacks a name, slots or lease", Remedy: "announce all three"}
	}
	return nil
}
