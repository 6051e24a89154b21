package load

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"nutmegfield.example/prefix"
)

// Request is one request of a schedule.
type Request struct {
	Number    int
	At        time.Duration
	Class     *Class
	Tier      int
	Workspace string
	// Prompt is what it says, in parts that other requests may share.
	Prompt []Segment
	// Output is the tokens of the answer.
	Output int
	// Crashing is the fault that sends the request, nil for others. It is not
	// judged.
	Crashing *Fault
}

// Segment is a part of a prompt; equal seeds make equal texts. Its length is
// a whole number of blocks but for the last segment.
type Segment struct {
	Seed   uint64
	Tokens int
}

// PromptTokens is the length of the prompt.
func (request *Request) PromptTokens() int {
	tokens := 0
	for _, segment := range request.Prompt {
		tokens += segment.Tokens
	}
	return tokens
}

// Chain returns a hash for each whole block of the prompt, equal for equal
// heads. It stands for prefix.Chain of the text without making the text.
func (request *Request) Chain() []uint64 {
	chain := make([]uint64, 0, request.PromptTokens()/prefix.BlockTokens)
	var previous uint64
	for _, segment := range request.Prompt {
		for block := range segment.Tokens / prefix.BlockTokens {
			previous = mix(previous, segment.Seed, uint64(block))
			chain = append(chain, previous)
		}
	}
	return chain
}

// Schedule draws the requests of a scenario, in order of time.
func (scenario *Scenario) Schedule(seed uint64) []*Request {
	draw := &draw{scenario: scenario, seed: seed, random: rand.New(rand.NewPCG(seed, 2))}
	for i := range scenario.Workspaces {
		draw.workspaces += scenario.Workspaces[i].Share
	}
	for i := range scenario.Classes {
		draw.classes += scenario.Classes[i].Share
	}
	draw.arrivals()
	for i := range scenario.Faults {
		if scenario.Faults[i].Crashing != "" {
			draw.crashing(&scenario.Faults[i])
		}
	}
	sort.SliceStable(draw.requests, func(i, j int) bool { return draw.requests[i].At < draw.requests[j].At })
	for i, request := range draw.requests {
		request.Number = i
	}
	return draw.requests
}

// draw makes one schedule.
type draw struct {
	scenario   *Scenario
	seed       uint64
	random     *rand.Rand
	workspaces float64
	classes    float64
	requests   []*Request
}

// arrivals draws a Poisson process whose rate changes, by thinning.
func (draw *draw) arrivals() {
	scenario := draw.scenario
	peak := scenario.Rate * scenario.Factor * draw.highest()
	var at float64
	for {
		at += draw.random.ExpFloat64() / peak
		moment := time.Duration(at * float64(time.Second))
		if moment >= scenario.Duration {
			return
		}
		workspace := draw.workspace()
		if draw.random.Float64()*draw.highest() >= scenario.intensity(moment, workspace) {
			continue
		}
		draw.conversation(moment, workspace)
	}
}

// highest is an upper bound of the intensity.
func (draw *draw) highest() float64 {
	highest := max(1, draw.scenario.Waves.Factor)
	burst := 1.0
	for i := range draw.scenario.Bursts {
		burst = max(burst, draw.scenario.Bursts[i].Factor)
	}
	return highest * burst
}

// intensity is a workspace's load at a moment, 1 on the mean without bursts.
func (scenario *Scenario) intensity(at time.Duration, workspace string) float64 {
	intensity := scenario.Waves.intensity(at)
	for _, burst := range scenario.Bursts {
		if burst.Workspace == workspace && at >= burst.At && at < burst.At+burst.For {
			intensity *= burst.Factor
		}
	}
	return intensity
}

func (waves Waves) intensity(at time.Duration) float64 {
	if waves.Every <= 0 || waves.Factor <= 1 {
		return 1
	}
	if at%waves.Every < waves.For {
		return waves.Factor
	}
	part := float64(waves.For) / float64(waves.Every)
	return max(0, (1-waves.Factor*part)/(1-part))
}

func (draw *draw) workspace() string {
	left := draw.random.Float64() * draw.workspaces
	for _, workspace := range draw.scenario.Workspaces {
		left -= workspace.Share
		if left < 0 {
			return workspace.Name
		}
	}
	return draw.scenario.Workspaces[0].Name
}

func (draw *draw) class() *Class {
	left := draw.random.Float64() * draw.classes
	for i := range draw.scenario.Classes {
		left -= draw.scenario.Classes[i].Share
		if left < 0 {
			return &draw.scenario.Classes[i]
		}
	}
	return &draw.scenario.Classes[0]
}

// conversation adds a request and its later turns.
func (draw *draw) conversation(at time.Duration, workspace string) {
	class := draw.class()
	if len(draw.scenario.Pool(class.Pool).Engines) == 0 {
		draw.add(at, class, workspace, nil, 0)
		return
	}
	var prompt []Segment
	if head, ok := draw.shared(class, workspace, at); ok {
		prompt = append(prompt, head)
	}
	turns := 1 + draw.random.IntN(class.Turns.Most)
	for range turns {
		if at >= draw.scenario.Duration {
			return
		}
		prompt = append(prompt, Segment{Seed: draw.random.Uint64(), Tokens: class.Prompt.draw(draw.random)})
		output := class.Output.draw(draw.random)
		draw.add(at, class, workspace, append([]Segment(nil), prompt...), output)
		// What the next turn repeats: this prompt, made up to whole blocks,
		// and the answer.
		last := &prompt[len(prompt)-1]
		last.Tokens = blocks(last.Tokens + output)
		at += time.Duration(float64(class.Turns.Think) * (0.5 + draw.random.Float64()))
	}
}

func (draw *draw) add(at time.Duration, class *Class, workspace string, prompt []Segment, output int) {
	draw.requests = append(draw.requests, &Request{
		At:        at,
		Class:     class,
		Tier:      draw.scenario.Tier(class.Tier),
		Workspace: workspace,
		Prompt:    prompt,
		Output:    output,
	})
}

// crashing adds the requests of a fault that sends the same one again and again.
func (draw *draw) crashing(fault *Fault) {
	class := draw.scenario.class(fault.Crashing)
	prompt := []Segment{{Seed: draw.random.Uint64(), Tokens: class.Prompt.draw(draw.random)}}
	output, workspace := class.Output.draw(draw.random), draw.workspace()
	for at := fault.At; at < min(fault.At+fault.For, draw.scenario.Duration); at += fault.Every {
		draw.add(at, class, workspace, prompt, output)
		draw.requests[len(draw.requests)-1].Crashing = fault
	}
}

// shared returns the head that the request has in common with others.
func (draw *draw) shared(class *Class, workspace string, at time.Duration) (Segment, bool) {
	shared := class.Shared
	if shared.Groups == 0 {
		return Segment{}, false
	}
	group := zipf(draw.random, shared.Groups, shared.Skew)
	// Groups end one by one, not all at the same time.
	phase := time.Duration(group) * shared.Life / time.Duration(shared.Groups)
	age := uint64((at + phase) / shared.Life)
	// Classes with the same shared part and workspace share their heads.
	seed := mix(draw.seed^xxhash.Sum64String(workspace), uint64(group), age<<32|uint64(shared.Tokens.Median))
	tokens := shared.Tokens.draw(rand.New(rand.NewPCG(seed, 3)))
	return Segment{Seed: seed, Tokens: blocks(tokens)}, true
}

// blocks rounds tokens up to whole blocks.
func blocks(tokens int) int {
	return (tokens + prefix.BlockTokens - 1) / prefix.BlockTokens * prefix.BlockTokens
}

func (length Length) draw(random *rand.Rand) int {
	tokens := float64(length.Median) * math.Exp(length.Spread*random.NormFloat64())
	if length.Most > 0 {
		tokens = min(tokens, float64(length.Most))
	}
	return max(length.Least, int(tokens))
}

// zipf draws one of n things, the first the most often.
func zipf(random *rand.Rand, n int, skew float64) int {
	var sum float64
	for i := range n {
		sum += math.Pow(float64(i+1), -skew)
	}
	left := random.Float64() * sum
	for i := range n {
		left -= math.Pow(float64(i+1), -skew)
		if left < 0 {
			return i
		}
	}
	return n - 1
}

func mix(one, two, three uint64) uint64 {
	var bytes [24]byte
	binary.LittleEndian.PutUint64(bytes[:], one)
	binary.LittleEndian.PutUint64(bytes[8:], two)
	binary.LittleEndian.PutUint64(bytes[16:], three)
	return xxhash.Sum64(bytes[:])
}
