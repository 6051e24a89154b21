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

// EngineOptions configures an EngineModel. Zero Slots, BatchSlope, ChunkTokens,
// MemoryTokens, StreamTTL and TransferRate stand for their defaults.
type EngineOptions struct {
	// Slots is the number of requests that run at once; others wait in order of
	// arrival.
	Slots int
	// BatchSlope is the fraction of the duration of a decode step by which each
	// further request lengthens it.
	BatchSlope float64
	// ChunkTokens is the number of prompt tokens that a step computes in addition
	// to decoding.
	ChunkTokens int
	// MemoryTokens is the size of the KV memory.
	MemoryTokens int
	// EventLag is the delay until a cache event can be read, EventLoss the
	// fraction of events that is lost.
	EventLag  time.Duration
	EventLoss float64
	// ReportLag is the age of the load that is reported.
	ReportLag time.Duration
	// StreamTTL is how long a stream without readers can be resumed.
	StreamTTL time.Duration
	// TransferRate is the speed of KV export and import, in tokens a second.
	TransferRate float64
	// Fenced makes the engine refuse orders with an old fencing number.
	Fenced bool
}

// Defaults of EngineOptions.
const (
	defaultSlots        = 16
	defaultBatchSlope   = 0.02
	defaultChunkTokens  = 512
	defaultMemoryTokens = 400_000
	defaultStreamTTL    = 30 * time.Second
	defaultTransferRate = 100_000
)

// withDefaults replaces zero values by defaults.
func (options EngineOptions) withDefaults() EngineOptions {
	options.Slots = nonZero(options.Slots, defaultSlots)
	options.BatchSlope = nonZero(options.BatchSlope, defaultBatchSlope)
	options.ChunkTokens = nonZero(options.ChunkTokens, defaultChunkTokens)
	options.MemoryTokens = nonZero(options.MemoryTokens, defaultMemoryTokens)
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

// Job is a request on an engine. Exported fields are set before Submit. The
// functions are called from the methods of EngineModel and may be nil.
type Job struct {
	ID           string
	PromptTokens int
	// OutputTokens below 1 counts as 1.
	OutputTokens int
	// Blocks holds the hashes of the prompt's complete blocks, see
	// prefix.BlockHashes.
	Blocks []uint64
	// Poison crashes the engine when the job's prefill is complete.
	Poison bool
	// OnPrefill is called at the start of prefill with the number of prompt
	// tokens that are cached.
	OnPrefill    func(cached int)
	OnFirstToken func()
	OnEnd        func(end JobEnd)

	// pinned is the number of leading Blocks that are pinned in the cache,
	// reserved the number of blocks reserved for this job alone.
	pinned   int
	reserved int
	started  bool
	cached   int
	// remainingTokens is the number of prompt tokens still to compute.
	remainingTokens float64
	// firstTokenStep and lastTokenStep are the values of EngineModel.steps at the
	// first and last output token.
	firstTokenStep float64
	lastTokenStep  float64
	index          int
}

// JobEnd describes how a job ended.
type JobEnd struct {
	Kind JobEndKind
	// ComputedTokens is the number of prompt tokens that were computed for the job.
	ComputedTokens int
	Usage          request.Usage
}

// JobEndKind tells completed, cancelled and crashed jobs apart.
type JobEndKind uint8

// Values of JobEndKind.
const (
	JobDone JobEndKind = iota
	JobCancelled
	JobCrashed
)

// EngineModel simulates a model engine with continuous batching: requests are
// admitted in order of arrival, and prefill runs in chunks together with
// decoding. It does no I/O, takes the time from time.Now and starts no
// goroutines: its user calls Advance at the time that NextEvent returns.
// Progress between two events is linear, so single tokens cost no computing.
// It is not safe for concurrent use.
type EngineModel struct {
	Name string
	// PrefillRate is the number of prompt tokens a second without decoding,
	// DecodeRate the number of output tokens a second of a single request.
	PrefillRate float64
	DecodeRate  float64
	Options     EngineOptions
	// Seed determines which cache events are lost.
	Seed uint64

	initialized bool
	random      *rand.Rand
	slowdown    float64
	down        bool
	leaving     bool
	limit       float64
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

// initialize sets up the model on its first use.
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
	model.cache = newBlockCache(model.Options.MemoryTokens/prefix.BlockTokens, model.recordCacheEvent)
}

// Submit queues a job. It returns false if the engine is down or leaving or has
// a job of the same ID.
func (model *EngineModel) Submit(job *Job) bool {
	model.Advance()
	if model.down || model.leaving || model.jobs[job.ID] != nil {
		return false
	}
	job.OutputTokens = max(1, job.OutputTokens)
	model.jobs[job.ID] = job
	model.waiting = append(model.waiting, job)
	model.admit()
	return true
}

// Cancel ends a waiting or running job and reports whether there was one with
// this id.
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

// Advance processes all events up to now.
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

// NextEvent returns the time of the next end of a prefill or of decoding, or
// false if no request runs.
func (model *EngineModel) NextEvent() (time.Time, bool) {
	steps := math.Inf(1)
	if len(model.prefills) > 0 {
		steps = model.prefills[0].remainingTokens / float64(model.Options.ChunkTokens)
	}
	if len(model.decoding) > 0 {
		steps = min(steps, model.decoding[0].lastTokenStep-model.steps)
	}
	if math.IsInf(steps, 1) {
		return time.Time{}, false
	}
	return model.advancedTo.Add(time.Duration(math.Ceil(max(0, steps) * model.stepSeconds() * float64(time.Second)))), true
}

// stepSeconds returns the duration of a step of the present batch.
func (model *EngineModel) stepSeconds() float64 {
	seconds := 0.0
	if batch := len(model.decoding); batch > 0 {
		seconds = (1 + model.Options.BatchSlope*float64(batch-1)) / model.DecodeRate
	}
	if len(model.prefills) > 0 {
		seconds += float64(model.Options.ChunkTokens) / model.PrefillRate
	}
	return seconds * model.slowdown
}

// progressTo advances prefill and decoding linearly up to a time before which no
// event is due.
func (model *EngineModel) progressTo(until time.Time) {
	seconds := until.Sub(model.advancedTo).Seconds()
	model.advancedTo = until
	if len(model.prefills) == 0 && len(model.decoding) == 0 || seconds <= 0 {
		return
	}
	steps := seconds / model.stepSeconds()
	model.steps += steps
	if len(model.prefills) > 0 {
		computed := min(model.prefills[0].remainingTokens, steps*float64(model.Options.ChunkTokens))
		model.prefills[0].remainingTokens -= computed
		model.computed += computed
	}
}

// roundingTolerance is in steps and tokens, and covers the rounding of times to
// nanoseconds.
const roundingTolerance = 1e-6

// finishDue ends the jobs and the prefill that are complete, and admits waiting
// jobs.
func (model *EngineModel) finishDue() {
	for len(model.decoding) > 0 && model.decoding[0].lastTokenStep <= model.steps+roundingTolerance {
		model.end(model.decoding[0], JobDone)
	}
	if len(model.prefills) > 0 && model.prefills[0].remainingTokens <= roundingTolerance {
		model.finishPrefill(model.prefills[0])
	}
	model.admit()
}

// admit moves waiting jobs into the batch, in order, while there are free slots
// and memory.
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

// startFirstPrefill starts the first prefill unless it has started.
func (model *EngineModel) startFirstPrefill() {
	if len(model.prefills) > 0 && !model.prefills[0].started {
		model.startPrefill(model.prefills[0])
	}
}

// reserve pins the cached blocks of a job and reserves memory for the others. It
// returns false if there is too little memory.
func (model *EngineModel) reserve(job *Job) bool {
	cached := model.cache.cachedBlocks(job.Blocks)
	model.cache.pin(job.Blocks[:cached])
	tail := job.PromptTokens - len(job.Blocks)*prefix.BlockTokens + job.OutputTokens
	reserved := len(job.Blocks) - cached + max(0, tail)/prefix.BlockTokens + 1
	if !model.cache.reserve(reserved) {
		model.cache.unpin(job.Blocks[:cached])
		return false
	}
	job.pinned = cached
	job.reserved = reserved
	return true
}

// startPrefill starts the prefill of a job with the blocks that are cached now,
// which may be more than at its admission.
func (model *EngineModel) startPrefill(job *Job) {
	job.started = true
	cached := max(job.pinned, model.cache.cachedBlocks(job.Blocks))
	model.cache.pin(job.Blocks[job.pinned:cached])
	model.cache.reserved -= cached - job.pinned
	job.reserved -= cached - job.pinned
	job.pinned = cached
	job.cached = min(cached*prefix.BlockTokens, job.PromptTokens)
	// The last prompt token is always computed, as it yields the first output
	// token.
	job.remainingTokens = max(1, float64(job.PromptTokens-job.cached))
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
	job.lastTokenStep = model.steps + float64(job.OutputTokens-1)
	heap.Push(&model.decoding, job)
	model.startFirstPrefill()
	if job.OnFirstToken != nil {
		job.OnFirstToken()
	}
	if job.OutputTokens == 1 {
		model.end(job, JobDone)
	}
}

// end removes a job from the engine and frees its memory.
func (model *EngineModel) end(job *Job, kind JobEndKind) {
	if model.jobs[job.ID] != job {
		return
	}
	produced := model.ProducedTokens(job)
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
		PromptTokens: job.PromptTokens, CachedTokens: job.cached, OutputTokens: produced,
	}}
	if job.started {
		end.ComputedTokens = job.PromptTokens - job.cached - int(job.remainingTokens)
	}
	if kind == JobDone {
		end.Usage.OutputTokens = job.OutputTokens
	}
	job.OnEnd(end)
}

// ProducedTokens returns the number of output tokens of a job at the last Advance.
func (model *EngineModel) ProducedTokens(job *Job) int {
	if job.firstTokenStep == 0 && job.lastTokenStep == 0 {
		return 0
	}
	return min(job.OutputTokens, 1+int(model.steps-job.firstTokenStep+roundingTolerance))
}

// TokenDue returns when a job will have the given number of output tokens if
// the batch doesn't change. Before the job's first token it returns the time at
// which to call TokenDue again.
func (model *EngineModel) TokenDue(job *Job, tokens int) time.Time {
	const retryInterval = 10 * time.Millisecond
	if model.ProducedTokens(job) == 0 {
		return model.advancedTo.Add(retryInterval)
	}
	steps := job.firstTokenStep + float64(tokens-1) - model.steps
	return model.advancedTo.Add(time.Duration(max(0, steps)*model.stepSeconds()*float64(time.Second)) + time.Microsecond)
}

// ComputedTokens returns the total number of prompt tokens that the engine has
// computed.
func (model *EngineModel) ComputedTokens() float64 { return model.computed }

// CachedTokens returns the number of leading tokens of a prompt that are cached
// now, without the lag and loss of cache events.
func (model *EngineModel) CachedTokens(blocks []uint64) int {
	model.initialize()
	return model.cache.cachedBlocks(blocks) * prefix.BlockTokens
}

// Export returns the chain of blocks that ends with the given hash, nil if it
// isn't cached, and the duration of its transfer.
func (model *EngineModel) Export(hash uint64) ([]uint64, time.Duration) {
	model.initialize()
	chain := model.cache.chain(hash)
	return chain, model.transferTime(len(chain))
}

// Import stores blocks that another engine exported, if they fit into memory,
// and returns the duration of their transfer.
func (model *EngineModel) Import(chain []uint64) time.Duration {
	model.initialize()
	model.cache.add(chain)
	return model.transferTime(len(chain))
}

func (model *EngineModel) transferTime(blocks int) time.Duration {
	return time.Duration(float64(blocks*prefix.BlockTokens) / model.Options.TransferRate * float64(time.Second))
}

// SetSlowdown multiplies the duration of all further steps by a factor; one
// below 1 counts as 1.
func (model *EngineModel) SetSlowdown(factor float64) {
	model.Advance()
	model.slowdown = max(1, factor)
}

// Crash ends all jobs, clears the cache and refuses new jobs until Restart.
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

// Restart makes a crashed engine accept jobs again.
func (model *EngineModel) Restart() {
	model.Advance()
	model.down = false
}

// Down reports whether the engine has crashed.
func (model *EngineModel) Down() bool { return model.down }

// SetLeaving sets the leaving state, in which the engine refuses new jobs.
func (model *EngineModel) SetLeaving(leaving bool) {
	model.Advance()
	model.leaving = leaving
	model.recordLoad()
}

// SetLimit sets the number of requests a second that the engine says it takes, 0 for no
// limit. It doesn't refuse those beyond it.
func (model *EngineModel) SetLimit(limit float64) {
	model.Advance()
	model.limit = limit
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

// jobHeap is a heap of decoding jobs by the step of their last token.
type jobHeap []*Job

func (jobs jobHeap) Len() int           { return len(jobs) }
func (jobs jobHeap) Less(i, j int) bool { return jobs[i].lastTokenStep < jobs[j].lastTokenStep }

func (jobs jobHeap) Swap(i, j int) {
	jobs[i], jobs[j] = jobs[j], jobs[i]
	jobs[i].index = i
	jobs[j].index = j
}

// Push implements heap.Interface.
func (jobs *jobHeap) Push(added any) {
	job := added.(*Job)
	job.index = len(*jobs)
	*jobs = append(*jobs, job)
}

// Pop implements heap.Interface.
func (jobs *jobHeap) Pop() any {
	last := len(*jobs) - 1
	job := (*jobs)[last]
	(*jobs)[last] = nil
	*jobs = (*jobs)[:last]
	return job
}
