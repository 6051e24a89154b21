package exchange

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"nutmegfield.example/exchange/exchangepb"
	"nutmegfield.example/quarantine"
	"nutmegfield.example/timeline"
)

var largeSize = flag.Int("hosts", 0, "a further number of hosts for TestCrashingPartReachesAllHosts")

const (
	// suspicionTimeout is the time within which all hosts must know of the crash that
	// quarantines a request.
	suspicionTimeout = 3 * time.Second
	// maxSuspicionRate is the limit of bytes a second that a host sends for it.
	maxSuspicionRate = 2000
	// lossFraction is the fraction of datagrams that are lost.
	lossFraction = 0.1
)

// suspicionFleet is a network of hosts that exchange suspicions, with lost datagrams.
type suspicionFleet struct {
	*qt.C
	*network
	hosts []*Exchange

	byteMutex sync.Mutex
	// isCut is set while hosts with even and odd numbers don't hear each other.
	isCut bool
	// bytes counts what each host sent for suspicions in each second.
	bytes map[string]map[int64]int
}

func newSuspicionFleet(t *testing.T, count int) *suspicionFleet {
	fleet := &suspicionFleet{C: qt.New(t), network: newNetwork(), bytes: map[string]map[int64]int{}}
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("h%02d", i))
	}
	for _, name := range names {
		fleet.add(t, name, names...)
	}
	return fleet
}

// add starts a host.
func (fleet *suspicionFleet) add(t *testing.T, name string, seeds ...string) *Exchange {
	isOdd := func(name string) bool { return (name[len(name)-1]-'0')%2 == 1 }
	host := fleet.start(t, name, func(host *Exchange) {
		host.Zone, host.Link = fmt.Sprintf("z%d", len(fleet.hosts)%4), 1000
		send := host.Send
		host.Send = func(address string, datagram []byte) {
			fleet.count(name, datagram)
			fleet.byteMutex.Lock()
			isCut := fleet.isCut && isOdd(address) != isOdd(name)
			fleet.byteMutex.Unlock()
			if rand.Float64() >= lossFraction && !isCut {
				send(address, datagram)
			}
		}
	}, seeds...)
	fleet.hosts = append(fleet.hosts, host)
	go func() { _ = host.RunSuspicions(t.Context()) }()
	return host
}

func newSuspects() *quarantine.Suspects {
	return &quarantine.Suspects{LastAnswer: func(quarantine.Incarnation) time.Time { return time.Time{} }}
}

func (fleet *suspicionFleet) count(name string, datagram []byte) {
	if datagram[0] != suspicionsMarker {
		return
	}
	fleet.byteMutex.Lock()
	defer fleet.byteMutex.Unlock()
	if fleet.bytes[name] == nil {
		fleet.bytes[name] = map[int64]int{}
	}
	fleet.bytes[name][time.Now().Unix()] += len(datagram) + datagramOverhead
}

// waitQuarantined waits until a host has quarantined a content, and returns how long
// that took.
func (fleet *suspicionFleet) waitQuarantined(host *Exchange, content quarantine.Trait) time.Duration {
	start := time.Now()
	for {
		if _, quarantined := host.Suspects.Find(content); quarantined || time.Since(start) > time.Minute {
			return time.Since(start)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestSuspicionsReachAllHosts checks that all hosts know in time that a request has
// crashed three targets, each of them on another host, although many other requests
// are suspected and datagrams are lost; that a host which starts later learns of it;
// and that all of this takes few bytes.
func TestSuspicionsReachAllHosts(t *testing.T) {
	for _, count := range []int{3, 8, 64} {
		t.Run(fmt.Sprintf("hosts%d", count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const crashing = quarantine.Trait(1)
				fleet := newSuspicionFleet(t, count)
				time.Sleep(3 * time.Second)
				other := quarantine.Trait(100)
				for target := range quarantine.Incarnation(3) {
					crash := quarantine.Crash{Traits: quarantine.Traits{Content: crashing}, Target: target, Evidence: quarantine.Refused}
					crash.At = time.Now()
					fleet.hosts[int(target)%count].Suspects.RecordCrash(crash)
					// The other requests on the target.
					for range 14 {
						other++
						crash.Traits.Content = other
						fleet.hosts[rand.IntN(count)].Suspects.RecordCrash(crash)
					}
					time.Sleep(400 * time.Millisecond)
				}
				thirdCrashAt := time.Now().Add(-400 * time.Millisecond)
				for _, host := range fleet.hosts {
					fleet.waitQuarantined(host, crashing)
				}
				fleet.Assert(time.Since(thirdCrashAt) < suspicionTimeout, qt.IsTrue, qt.Commentf("%s", time.Since(thirdCrashAt)))
				time.Sleep(10 * time.Second)

				late := fleet.add(t, "late", "h00")
				took := fleet.waitQuarantined(late, crashing)
				fleet.Assert(took < suspicionTimeout, qt.IsTrue, qt.Commentf("%s", took))
				fleet.byteMutex.Lock()
				defer fleet.byteMutex.Unlock()
				for name, seconds := range fleet.bytes {
					for second, bytes := range seconds {
						fleet.Assert(bytes <= maxSuspicionRate, qt.IsTrue, qt.Commentf("%s sent %d bytes in second %d", name, bytes, second))
					}
				}
			})
		})
	}
}

// TestCrashingPartReachesAllHosts guards against requests that share a part which crashes
// targets, of which no two are alike, being known on no host: each of five crashes is
// observed by another host, and all hosts refuse the part in time, but not the parts that
// other requests on the same targets share with it, whether hosts served those or not. It
// takes few bytes.
func TestCrashingPartReachesAllHosts(t *testing.T) {
	counts := []int{3, 8, 64}
	if *largeSize > 0 {
		counts = append(counts, *largeSize)
	}
	for _, count := range counts {
		t.Run(fmt.Sprintf("hosts%d", count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newSuspicionFleet(t, count)
				time.Sleep(5 * time.Second)
				random := rand.New(rand.NewPCG(1, uint64(count)))
				content := quarantine.Trait(100)
				request := func(parts ...string) quarantine.Traits {
					content++
					traits := quarantine.Traits{Content: content}
					for _, part := range append(append([]string{"system"}, parts...), fmt.Sprint("own", content)) {
						traits.Shared = append(traits.Shared, quarantine.NewShared("part", part))
					}
					return traits
				}
				for _, host := range fleet.hosts[:(count+1)/2] {
					host.Suspects.RecordServed(request("clubs").Shared, func() quarantine.Trait { return 0 })
				}
				for target := range quarantine.Incarnation(5) {
					crash := quarantine.Crash{Target: target, Evidence: quarantine.Refused, At: time.Now()}
					crash.Traits = request("bad", "clubs")
					fleet.hosts[random.IntN(count)].Suspects.RecordCrash(crash)
					for range 8 {
						crash.Traits = request("clubs")
						fleet.hosts[random.IntN(count)].Suspects.RecordCrash(crash)
					}
					time.Sleep(200 * time.Millisecond)
				}
				fifthCrashAt := time.Now().Add(-200 * time.Millisecond)
				bad, sound := request("bad", "clubs"), request("clubs")
				for _, host := range fleet.hosts {
					for host.Suspects.FindQuarantined(bad) == nil && time.Since(fifthCrashAt) < time.Minute {
						time.Sleep(10 * time.Millisecond)
					}
				}
				took := time.Since(fifthCrashAt)
				t.Logf("refused on all hosts %s after the fifth crash", took)
				fleet.Assert(took < suspicionTimeout, qt.IsTrue, qt.Commentf("%s", took))
				time.Sleep(2*suspicionTimeout - took)
				for _, host := range fleet.hosts {
					fleet.Assert(host.Suspects.FindQuarantined(sound), qt.IsNil)
				}
				fleet.byteMutex.Lock()
				defer fleet.byteMutex.Unlock()
				most, total := 0, 0
				for _, seconds := range fleet.bytes {
					for _, bytes := range seconds {
						most, total = max(most, bytes), total+bytes
					}
				}
				t.Logf("at most %d bytes a second by a host, %d by each in all", most, total/count)
				fleet.Assert(most <= maxSuspicionRate, qt.IsTrue, qt.Commentf("%d bytes", most))
			})
		})
	}
}

// TestCrashesAtTheSameTimeReachAllHosts guards against a request whose crashes are not added up
// as each host observed only one of them, while there is more to tell of others: several requests
// crash a target each on four hosts at the same time, beside many other requests.
func TestCrashesAtTheSameTimeReachAllHosts(t *testing.T) {
	for _, run := range []struct{ hosts, crashing int }{{4, 5}, {8, 5}, {64, 4}} {
		t.Run(fmt.Sprintf("hosts%d", run.hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const observers = 4
				fleet := newSuspicionFleet(t, run.hosts)
				time.Sleep(5 * time.Second)
				content := quarantine.Trait(100)
				request := func(parts ...string) quarantine.Traits {
					content++
					traits := quarantine.Traits{Content: content}
					traits.Shared = append(traits.Shared, quarantine.NewShared("path", fmt.Sprint(content)))
					for _, part := range parts {
						traits.Shared = append(traits.Shared, quarantine.NewShared("part", part))
					}
					return traits
				}
				for _, host := range fleet.hosts {
					host.Suspects.RecordServed(request("system", "clubs").Shared, func() quarantine.Trait { return 0 })
				}
				var crashers []quarantine.Traits
				target := quarantine.Incarnation(0)
				for range run.crashing {
					crasher := request()
					crashers = append(crashers, crasher)
					for _, observer := range rand.Perm(run.hosts)[:observers] {
						target++
						suspects := fleet.hosts[observer].Suspects
						crash := quarantine.Crash{Traits: crasher, Target: target, Evidence: quarantine.Refused, At: time.Now()}
						suspects.RecordCrash(crash)
						crash.Traits = request("system", "clubs", fmt.Sprint("own", content))
						suspects.RecordCrash(crash)
					}
				}
				crashedAt := time.Now()
				for _, host := range fleet.hosts {
					for _, crasher := range crashers {
						fleet.waitQuarantined(host, crasher.Content)
					}
				}
				took := time.Since(crashedAt)
				t.Logf("refused on all hosts %s after the crashes", took)
				fleet.Assert(took < suspicionTimeout, qt.IsTrue, qt.Commentf("%s", took))
			})
		})
	}
}

func (fleet *suspicionFleet) setCut(isCut bool) {
	fleet.byteMutex.Lock()
	defer fleet.byteMutex.Unlock()
	fleet.isCut = isCut
}

// TestSuspicionsAfterACut guards against crashes that each half of the hosts observed
// while it did not hear the other, and that are not added up afterwards.
func TestSuspicionsAfterACut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const crashing = quarantine.Trait(1)
		fleet := newSuspicionFleet(t, 8)
		time.Sleep(3 * time.Second)
		fleet.setCut(true)
		time.Sleep(2 * time.Second)
		for i, target := range []quarantine.Incarnation{1, 2, 3} {
			fleet.hosts[i].Suspects.RecordCrash(quarantine.Crash{
				Traits: quarantine.Traits{Content: crashing}, Target: target, At: time.Now(), Evidence: quarantine.Refused,
			})
		}
		time.Sleep(20 * time.Second)
		for _, host := range fleet.hosts {
			_, quarantined := host.Suspects.Find(crashing)
			fleet.Assert(quarantined, qt.IsFalse)
			fleet.Assert(host.MissesZone(), qt.IsTrue)
		}
		fleet.setCut(false)
		healedAt := time.Now()
		for _, host := range fleet.hosts {
			fleet.waitQuarantined(host, crashing)
		}
		fleet.Assert(time.Since(healedAt) < suspicionTimeout, qt.IsTrue, qt.Commentf("%s", time.Since(healedAt)))
		time.Sleep(time.Second)
		for _, host := range fleet.hosts {
			fleet.Assert(host.MissesZone(), qt.IsFalse)
		}
	})
}

// TestInvalidSuspicionsAreRejected checks that suspicions are accepted only from live
// hosts and only if they are valid.
func TestInvalidSuspicionsAreRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := newNetwork()
		receiver := network.start(t, "a", nil)
		network.start(t, "b", nil, "a")
		time.Sleep(time.Second)
		valid := func() *exchangepb.Suspicions {
			return &exchangepb.Suspicions{Address: "b", Suspects: []*exchangepb.Suspect{
				{Content: 7, Targets: []uint32{1, 2, 3}, Ages: []uint32{30, 20, 10}},
			}}
		}
		receive := func(message *exchangepb.Suspicions) bool {
			encoded, err := proto.Marshal(message)
			c.Assert(err, qt.IsNil)
			receiver.Receive(append([]byte{suspicionsMarker}, encoded...))
			suspect, _ := receiver.Suspects.Find(7)
			return suspect != nil
		}
		for name, spoil := range map[string]func(*exchangepb.Suspicions, *exchangepb.Suspect){
			"unknown host":      func(message *exchangepb.Suspicions, _ *exchangepb.Suspect) { message.Address = "c" },
			"no evidence":       func(_ *exchangepb.Suspicions, suspect *exchangepb.Suspect) { suspect.Targets, suspect.Ages = nil, nil },
			"an age is missing": func(_ *exchangepb.Suspicions, suspect *exchangepb.Suspect) { suspect.Ages = suspect.Ages[:2] },
			"a target twice":    func(_ *exchangepb.Suspicions, suspect *exchangepb.Suspect) { suspect.Targets[2] = 1 },
			"too old":           func(_ *exchangepb.Suspicions, suspect *exchangepb.Suspect) { suspect.Ages[0] = 200_000_000 },
			"too many targets": func(_ *exchangepb.Suspicions, suspect *exchangepb.Suspect) {
				suspect.Targets, suspect.Ages = make([]uint32, 17), make([]uint32, 17)
			},
			"too many suspects": func(message *exchangepb.Suspicions, suspect *exchangepb.Suspect) {
				for range maxReceivedSuspects {
					message.Suspects = append(message.Suspects, suspect)
				}
			},
		} {
			message := valid()
			spoil(message, message.GetSuspects()[0])
			c.Assert(receive(message), qt.IsFalse, qt.Commentf(name))
		}
		c.Assert(receive(valid()), qt.IsTrue)
		receiver.Receive([]byte{suspicionsMarker, 0xff})
		c.Assert(receiver.Events.Events(), qt.Satisfies, func(events []timeline.Event) bool {
			return events[len(events)-1].Number == 6105
		})
	})
}
