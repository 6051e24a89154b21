package standin

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"nutmegfield.example/prefix"
	"nutmegfield.example/protocol"
	"nutmegfield.example/request"
)

// EngineOptions are the sizes and habits of an engine. A field that is zero
// takes its default.
type EngineOptions struct {
	// Slots is how many requests it runs at once; more wait in their order.
	Slots int
	// BatchSlope is by how much of itself each further request lengthens a
	// decode step.
	BatchSlope float64
	// Chunk is how many prompt tokens one step computes beside the decoding.
	Chunk int
	// Memory is the size of its KV memory, in tokens.
	Memory int
	// EventLag is how late cache events are to be read, EventLoss the share
	// of them that is lost.
	EventLag  time.Duration
	EventLoss float64
	// ReportLag is how old the load report is.
	ReportLag time.Duration
	// StreamTTL is how long a stream can be resumed that nobody reads.
	StreamTTL time.Duration
	// TransferRate is the speed of KV export and import, in tokens a second.
	TransferRate float64
	// Fenced engines refuse an order with an old fencing number.
	Fenced bool
}

// Defaults of EngineOptions.
const (
	defaultSlots        = 16
	defaultBatchSlope   = 0.02
	defaultChunk        = 512
	defaultMemory       = 400_000
	defaultStreamTTL    = 30 * time.Second
	defaultTransferRate = 100_000
)

// withDefaults fills what is zero.
func (options EngineOptions) withDefaults() EngineOptions {
	options.Slots = nonZero(options.Slots, defaultSlots)
	options.BatchSlope = nonZero(options.BatchSlope, defaultBatchSlope)
	options.Chunk = nonZero(options.Chunk, defaultChunk)
	options.Memory = nonZero(options.Memory, defaultMemory)
	options.StreamTTL = nonZero(options.StreamTTL, defaultStreamTTL)
	options.TransferRate = nonZero(options.TransferRate, defaultTransferRate)
	return options
}

func nonZero[T int | float64 | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

// Job is a request on an engine. Exported fields are set before Submit; the
// functions are called from the engine's methods and may be nil.
type Job struct {
	ID string
	// Prompt and Output are tokens.
	Prompt int
	Output int
	// Blocks is the chain of the prompt's whole blocks, see prefix.Chain.
	Blocks []uint64
	// Poison crashes the engine when the job's prompt is computed.
	Poison bool
	// OnPrefill is told how many prompt tokens need no computing.
	OnPrefill    func(cached int)
	OnFirstToken func()
	OnEnd        func(end JobEnd)

	// pinned is how many of Blocks it has pinned, reserved its own blocks.
	pinned   int
	reserved int
	started  bool
	cached   int
	// remainingTokens is the prompt tokens still to compute.
	remainingTokens float64
	// firstTokenStep and until count decode steps: first and last token.
	firstTokenStep float64
	lastTokenStep  float64
	index          int
}

// JobEnd is how a job ended.
type JobEnd struct {
	Kind JobEndKind
	// Computed is how many prompt tokens were computed for it.
	Computed int
	Usage    request.Usage
}

// JobEndKind is a way a job can end.
type JobEndKind uint8

// The ways.
const (
	JobDone JobEndKind = iota
	JobCancelled
	JobCrashed
)

// EngineModel is a model engine without any input or output: it batches
// continuously, prefill in chunks beside the decoding, in the order of
// arrival. It knows the time by the runtime's clock and has no goroutine of
// its own: whoever drives it calls Advance at Next. Between two events all
// goes on at even speed, so that a token costs nothing. It is not safe for
// use by several goroutines at once.
type EngineModel struct {
	Name string
	// PrefillRate is prompt tokens a second with nothing else to do,
	// DecodeRate output tokens a second of a request that runs alone.
	PrefillRate float64
	DecodeRate  float64
	Options     EngineOptions
	// Seed decides which cache events are lost.
	Seed uint64

	initialized bool
	random      *rand.Rand
	slowdown    float64
	down        bool
	leaving     bool
	advancedTo  time.Time
	steps       float64
	computed    float64
	jobs        map[string]*Job
	waiting     []*Job
	prefills    []*Job
	decoding    jobHeap
	cache       *blockCache
	events      eventLog
	reports     []protocol.Load
}

// initialize readies the model at its first use.
func (model *EngineModel) initialize() {
	if model.initialized {
		return
	}
	model.initialized = true
	model.Options = model.Options.withDefaults()
	model.random = rand.New(rand.NewPCG(model.Seed, 1))
	model.slowdown = 1
	model.advancedTo = time.Now()
	model.jobs = map[string]*Job{}
	model.cache = newBlockCache(model.Options.Memory/prefix.BlockTokens, model.recordCacheEvent)
}

// Submit takes a job and reports false when the engine is down or leaving.
func (model *EngineModel) Submit(job *Job) bool {
	model.Advance()
	if model.down || model.leaving || model.jobs[job.ID] != nil {
		return false
	}
	job.Output = max(1, job.Output)
	model.jobs[job.ID] = job
	model.waiting = append(model.waiting, job)
	model.admit()
	return true
}

// Cancel ends a job that waits or runs, and reports whether there was one.
func (model *EngineModel) Cancel(id string) bool {
	model.Advance()
	job := model.jobs[id]
	if job == nil {
		return false
	}
	model.end(job, JobCancelled)
	model.admit()
	return true
}

// Advance brings the model to the present.
func (model *EngineModel) Advance() {
	model.initialize()
	now := time.Now()
	for {
		next, ok := model.NextEvent()
		if !ok || next.After(now) {
			break
		}
		model.progressTo(next)
		model.finishDue()
	}
	model.progressTo(now)
}

// NextEvent returns when something will happen by itself, false if nothing will.
func (model *EngineModel) NextEvent() (time.Time, bool) {
	steps := math.Inf(1)
	if len(model.prefills) > 0 {
		steps = model.prefills[0].remainingTokens / float64(model.Options.Chunk)
	}
	if len(model.decoding) > 0 {
		steps = min(steps, model.decoding[0].lastTokenStep-model.steps)
	}
	if math.IsInf(steps, 1) {
		return time.Time{}, false
	}
	return model.advancedTo.Add(time.Duration(math.Ceil(max(0, steps) * model.stepSeconds() * float64(time.Second)))), true
}

// stepSeconds is how long one step of the batch takes now.
func (model *EngineModel) stepSeconds() float64 {
	seconds := 0.0
	if batch := len(model.decoding); batch > 0 {
		seconds = (1 + model.Options.BatchSlope*float64(batch-1)) / model.DecodeRate
	}
	if len(model.prefills) > 0 {
		seconds += float64(model.Options.Chunk) / model.PrefillRate
	}
	return seconds * model.slowdown
}

// progressTo goes on at even speed up to a time.
func (model *EngineModel) progressTo(until time.Time) {
	seconds := until.Sub(model.advancedTo).Seconds()
	model.advancedTo = until
	if len(model.prefills) == 0 && len(model.decoding) == 0 || seconds <= 0 {
		return
	}
	steps := seconds / model.stepSeconds()
	model.steps += steps
	if len(model.prefills) > 0 {
		computed := min(model.prefills[0].remainingTokens, steps*float64(model.Options.Chunk))
		model.prefills[0].remainingTokens -= computed
		model.computed += computed
	}
}

// roundingTolerance absorbs the rounding of times to nanoseconds, in steps and tokens.
const roundingTolerance = 1e-6

// finishDue does what is due.
func (model *EngineModel) finishDue() {
	for len(model.decoding) > 0 && model.decoding[0].lastTokenStep <= model.steps+roundingTolerance {
		model.end(model.decoding[0], JobDone)
	}
	if len(model.prefills) > 0 && model.prefills[0].remainingTokens <= roundingTolerance {
		model.finishPrefill(model.prefills[0])
	}
	model.admit()
}

// admit moves waiting jobs into the batch, in order, while there is room.
func (model *EngineModel) admit() {
	for len(model.waiting) > 0 && len(model.prefills)+len(model.decoding) < model.Options.Slots {
		job := model.waiting[0]
		if !model.reserve(job) {
			break
		}
		model.waiting = model.waiting[1:]
		model.prefills = append(model.prefills, job)
	}
	model.startFirstPrefill()
	model.recordLoad()
}

// startFirstPrefill begins the first prefill, if it has not.
func (model *EngineModel) startFirstPrefill() {
	if len(model.prefills) > 0 && !model.prefills[0].started {
		model.startPrefill(model.prefills[0])
	}
}

func (model *EngineModel) reserve(job *Job) bool {
	cached := model.cache.cachedBlocks(job.Blocks)
	model.cache.pin(job.Blocks[:cached])
	tail := job.Prompt - len(job.Blocks)*prefix.BlockTokens + job.Output
	reserved := len(job.Blocks) - cached + max(0, tail)/prefix.BlockTokens + 1
	if !model.cache.reserve(reserved) {
		model.cache.unpin(job.Blocks[:cached])
		return false
	}
	job.pinned = cached
	job.reserved = reserved
	return true
}

// startPrefill looks again at what is cached by now.
func (model *EngineModel) startPrefill(job *Job) {
	job.started = true
	cached := max(job.pinned, model.cache.cachedBlocks(job.Blocks))
	model.cache.pin(job.Blocks[job.pinned:cached])
	model.cache.reserved -= cached - job.pinned
	job.reserved -= cached - job.pinned
	job.pinned = cached
	job.cached = min(cached*prefix.BlockTokens, job.Prompt)
	// The last token is always computed: its output is the first one.
	job.remainingTokens = max(1, float64(job.Prompt-job.cached))
	if job.OnPrefill != nil {
		job.OnPrefill(job.cached)
	}
}

func (model *EngineModel) finishPrefill(job *Job) {
	if job.Poison {
		model.Crash()
		return
	}
	model.prefills = model.prefills[1:]
	model.cache.store(job.Blocks, job.pinned)
	job.reserved -= len(job.Blocks) - job.pinned
	job.pinned = len(job.Blocks)
	job.firstTokenStep = model.steps
	job.lastTokenStep = model.steps + float64(job.Output-1)
	heap.Push(&model.decoding, job)
	model.startFirstPrefill()
	if job.OnFirstToken != nil {
		job.OnFirstToken()
	}
	if job.Output == 1 {
		model.end(job, JobDone)
	}
}

// end takes a job off the engine.
func (model *EngineModel) end(job *Job, kind JobEndKind) {
	if model.jobs[job.ID] != job {
		return
	}
	produced := model.Produced(job)
	delete(model.jobs, job.ID)
	switch {
	case remove(&model.waiting, job), remove(&model.prefills, job):
	default:
		heap.Remove(&model.decoding, job.index)
	}
	model.cache.unpin(job.Blocks[:job.pinned])
	model.cache.reserved -= job.reserved
	model.startFirstPrefill()
	model.notifyEnd(job, kind, produced)
}

func (model *EngineModel) notifyEnd(job *Job, kind JobEndKind, produced int) {
	if job.OnEnd == nil {
		return
	}
	end := JobEnd{Kind: kind, Usage: request.Usage{
		PromptTokens: job.Prompt, CachedTokens: job.cached, OutputTokens: produced,
	}}
	if job.started {
		end.Computed = job.Prompt - job.cached - int(job.remainingTokens)
	}
	if kind == JobDone {
		end.Usage.OutputTokens = job.Output
	}
	job.OnEnd(end)
}

// Produced returns how many output tokens a job has by now.
func (model *EngineModel) Produced(job *Job) int {
	if job.firstTokenStep == 0 && job.lastTokenStep == 0 {
		return 0
	}
	return min(job.Output, 1+int(model.steps-job.firstTokenStep+roundingTolerance))
}

// TokenDue returns when a running job will have a number of output tokens if
// all goes on as now; before its first token, when to look again.
func (model *EngineModel) TokenDue(job *Job, tokens int) time.Time {
	const retryInterval = 10 * time.Millisecond
	if model.Produced(job) == 0 {
		return model.advancedTo.Add(retryInterval)
	}
	steps := job.firstTokenStep + float64(tokens-1) - model.steps
	return model.advancedTo.Add(time.Duration(max(0, steps)*model.stepSeconds()*float64(time.Second)) + time.Microsecond)
}

// Computed is how many prompt tokens the engine has computed in all.
func (model *EngineModel) Computed() float64 { return model.computed }

// CachedTokens returns how many tokens of a prompt the engine really holds.
func (model *EngineModel) CachedTokens(blocks []uint64) int {
	model.initialize()
	return model.cache.cachedBlocks(blocks) * prefix.BlockTokens
}

// Export returns the chain of blocks that ends with the prefix, nil if it is
// not cached, and how long its transfer takes.
func (model *EngineModel) Export(hash uint64) ([]uint64, time.Duration) {
	model.initialize()
	chain := model.cache.chain(hash)
	return chain, model.transferTime(len(chain))
}

// Import stores blocks that another engine exported and returns how long
// their transfer takes.
func (model *EngineModel) Import(chain []uint64) time.Duration {
	model.initialize()
	model.cache.add(chain)
	return model.transferTime(len(chain))
}

func (model *EngineModel) transferTime(blocks int) time.Duration {
	return time.Duration(float64(blocks*prefix.BlockTokens) / model.Options.TransferRate * float64(time.Second))
}

// SetSlowdown makes all that the engine computes take so many times as long.
func (model *EngineModel) SetSlowdown(factor float64) {
	model.Advance()
	model.slowdown = max(1, factor)
}

// Crash ends all jobs, forgets the cache and takes no more until Restart.
func (model *EngineModel) Crash() {
	model.initialize()
	model.progressTo(time.Now())
	model.down = true
	jobs := append(append(append([]*Job(nil), model.waiting...), model.prefills...), model.decoding...)
	model.jobs = map[string]*Job{}
	model.waiting, model.prefills, model.decoding = nil, nil, nil
	model.cache.clear()
	model.events = eventLog{}
	for _, job := range jobs {
		model.notifyEnd(job, JobCrashed, 0)
	}
	model.recordLoad()
}

// Restart brings a crashed engine back, with an empty cache.
func (model *EngineModel) Restart() {
	model.Advance()
	model.down = false
}

// Down reports whether the engine has crashed.
func (model *EngineModel) Down() bool { return model.down }

// SetLeaving makes the engine refuse new jobs, or take them again.
func (model *EngineModel) SetLeaving(leaving bool) {
	model.Advance()
	model.leaving = leaving
	model.recordLoad()
}

func remove(jobs *[]*Job, job *Job) bool {
	for i, found := range *jobs {
		if found == job {
			*jobs = append((*jobs)[:i], (*jobs)[i+1:]...)
			return true
		}
	}
	return false
}

// jobHeap orders decoding jobs by their last token.
type jobHeap []*Job

func (jobs jobHeap) Len() int           { return len(jobs) }
func (jobs jobHeap) Less(i, j int) bool { return jobs[i].lastTokenStep < jobs[j].lastTokenStep }

func (jobs jobHeap) Swap(i, j int) {
	jobs[i], jobs[j] = jobs[j], jobs[i]
	jobs[i].index = i
	jobs[j].index = j
}

// Push is for container/heap.
func (jobs *jobHeap) Push(added any) {
	job := added.(*Job)
	job.index = len(*jobs)
	*jobs = append(*jobs, job)
}

// Pop is for container/heap.
func (jobs *jobHeap) Pop() any {
	last := len(*jobs) - 1
	job := (*jobs)[last]
	(*jobs)[last] = nil
	*jobs = (*jobs)[:last]
	return job
}
