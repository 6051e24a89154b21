package limit

import "time"

// Message is what a host sends to another one about limits.
type Message struct {
	Asks   []Ask
	Grants []Grant
	// News are limits that the grantor of their targets tells the others.
	News []News
}

// IsEmpty reports whether there is nothing to send.
func (message *Message) IsEmpty() bool {
	return len(message.Asks) == 0 && len(message.Grants) == 0 && len(message.News) == 0
}

// News is what a host knows of a target's limit.
type News struct {
	Target Target
	// Rate is 0 for a limit that ended. Age is the time since Named.At.
	Rate float64
	Age  time.Duration
}

// Ask asks the grantor of a target for permits, and reports what became of earlier ones.
// Each replaces the host's previous one for the target.
type Ask struct {
	News
	// IsOwn is set if the asking host observed the limit itself.
	IsOwn bool
	// Sequence orders the asks of a host.
	Sequence uint32
	// Wanted is the number of permits that the host can use in addition to those Held.
	// Tier is that of its most important waiting request, ExpectedTier for none.
	Wanted, Held, Tier int
	// Unanswered is the number of requests that the host sent within unansweredLifetime
	// and that the target has not answered.
	Unanswered int
	// Sent and Answered count all requests and answers.
	Sent, Answered uint32
	// Received is the number of permits received from the grantor so far, Returned the
	// number of those that were not used since the previous ask.
	Received uint32
	Returned int
}

// Grant is a number of permits for a target. Each lets its host send one request within
// PermitLifetime.
type Grant struct {
	Target  Target
	Permits int
}

const (
	// PermitLifetime is how long a permit is valid after a host received it.
	PermitLifetime = 250 * time.Millisecond
	// ExpectedTier is the tier of permits for requests that are expected to come.
	ExpectedTier = 1 << 20
)
