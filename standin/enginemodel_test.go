package standin

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/tools/txtar"

	"nutmegfield.example/prefix"
)

// TestEngineModel runs the scripts of testdata/engine. A line of a script has the
// time since the start, a command and its arguments; the events of the model are
// compared with the section "want".
func TestEngineModel(t *testing.T) {
	files, err := filepath.Glob("testdata/engine/*.txtar")
	qt.Assert(t, err, qt.IsNil)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			archive, err := txtar.ParseFile(file)
			qt.Assert(t, err, qt.IsNil)
			synctest.Test(t, func(t *testing.T) {
				player := &enginePlayer{t: t, started: time.Now(), model: &EngineModel{
					Name: "engine", PrefillRate: 1000, DecodeRate: 10,
					Options: EngineOptions{
						Slots: 2, BatchSlope: 1, ChunkTokens: 100, MemoryTokens: 10 * prefix.BlockTokens,
						EventLag: time.Second, ReportLag: time.Second,
					},
				}}
				for _, line := range lines(archive.Files[0].Data) {
					player.execute(strings.Fields(line))
				}
				player.runUntil(time.Hour)
				qt.Assert(t, player.observed, qt.DeepEquals, lines(archive.Files[1].Data))
			})
		})
	}
}

func lines(text []byte) []string {
	return strings.Split(strings.TrimSpace(string(text)), "\n")
}

type enginePlayer struct {
	t        *testing.T
	started  time.Time
	model    *EngineModel
	observed []string
}

func (player *enginePlayer) record(format string, arguments ...any) {
	at := time.Since(player.started).Round(time.Millisecond)
	player.observed = append(player.observed, at.String()+" "+fmt.Sprintf(format, arguments...))
}

// runUntil advances the model event by event to a time since the start.
func (player *enginePlayer) runUntil(at time.Duration) {
	for {
		next, ok := player.model.NextEvent()
		if !ok || next.Sub(player.started) > at {
			break
		}
		time.Sleep(time.Until(next))
		player.model.Advance()
	}
	time.Sleep(time.Until(player.started.Add(at)))
	player.model.Advance()
}

func (player *enginePlayer) execute(words []string) {
	at, err := time.ParseDuration(words[0])
	qt.Assert(player.t, err, qt.IsNil)
	player.runUntil(at)
	model := player.model
	switch words[1] {
	case "submit":
		player.submit(words[2:])
	case "cancel":
		player.record("cancel %v", model.Cancel(words[2]))
	case "slow":
		model.SetSlowdown(float64(player.number(words[2])))
	case "crash":
		model.Crash()
	case "restart":
		model.Restart()
	case "leave":
		model.SetLeaving(true)
	case "load":
		load := model.Load()
		player.record("load %d running %d waiting", load.Running, load.Waiting)
	case "events":
		for _, event := range model.Events(uint64(player.number(words[2]))) {
			player.record("event %d stored %v removed %v", event.Sequence, event.Stored, event.Removed)
		}
	case "cached":
		player.record("cached %d", model.CachedTokens(player.chain(words[2])))
	case "import":
		player.record("import %v", model.Import(player.chain(words[2])))
	case "export":
		chain, wait := model.Export(uint64(player.number(words[2])))
		player.record("export %v %v", chain, wait)
	default:
		player.t.Fatalf("unknown command %s", words[1])
	}
}

// submit submits a job. Its words are the id, the numbers of prompt and output
// tokens and, optionally, the chain and "poison".
func (player *enginePlayer) submit(words []string) {
	job := &Job{ID: words[0], PromptTokens: player.number(words[1]), OutputTokens: player.number(words[2])}
	if len(words) > 3 {
		job.Blocks = player.chain(words[3])
	}
	job.Poison = len(words) > 4
	job.OnFirstToken = func() { player.record("first %s", job.ID) }
	job.OnEnd = func(end JobEnd) {
		kind := [...]string{"done", "cancelled", "crashed"}[end.Kind]
		player.record("%s %s computed %d cached %d output %d", kind, job.ID, end.ComputedTokens, end.Usage.CachedTokens, end.Usage.OutputTokens)
	}
	if !player.model.Submit(job) {
		player.record("refused %s", job.ID)
	}
}

// chain parses block hashes such as 1,2,3.
func (player *enginePlayer) chain(text string) []uint64 {
	var chain []uint64
	for _, word := range strings.Split(text, ",") {
		chain = append(chain, uint64(player.number(word)))
	}
	return chain
}

func (player *enginePlayer) number(text string) int {
	number, err := strconv.Atoi(text)
	qt.Assert(player.t, err, qt.IsNil)
	return number
}
