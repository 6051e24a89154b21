package quarantine

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"
)

// record is the encoding of a quarantined trait on the platform. The name of its
// object is the trait.
type record struct {
	Endings      []recordedEnding `json:"endings"`
	Depth        uint8            `json:"depth,omitempty"`
	ServedBefore bool             `json:"servedBefore,omitempty"`
}

type recordedEnding struct {
	Target  Incarnation `json:"target"`
	At      time.Time   `json:"at"`
	Certain bool        `json:"certain"`
}

// EncodeRecord returns the name and the value of the platform's object for a suspect.
func EncodeRecord(suspect *Suspect) (name string, value []byte, err error) {
	record := record{Depth: suspect.Depth, ServedBefore: suspect.ServedBefore}
	for _, ending := range suspect.Endings {
		record.Endings = append(record.Endings, recordedEnding(ending))
	}
	if value, err = json.Marshal(record); err != nil {
		return "", nil, fmt.Errorf("encode the record of %s: %w", suspect.Trait, err)
	}
	return suspect.Trait.String(), value, nil
}

// DecodeRecord returns the suspect of a platform's object. Endings in the future, by
// this host's clock, count as of now.
func DecodeRecord(name string, value []byte) (*Suspect, error) {
	trait, err := strconv.ParseUint(name, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("read the content of record %q: %w", name, err)
	}
	var record record
	if err := json.Unmarshal(value, &record); err != nil {
		return nil, fmt.Errorf("decode the record of %s: %w", name, err)
	}
	now := time.Now()
	suspect := &Suspect{Trait: Trait(trait), Depth: record.Depth, ServedBefore: record.ServedBefore}
	for _, ending := range record.Endings {
		// The difference turns a time of day into one of this process's clock.
		elapsed := max(0, now.Sub(ending.At))
		suspect.Endings = append(suspect.Endings, Ending{Target: ending.Target, At: now.Add(-elapsed), Certain: ending.Certain})
	}
	return suspect.merge(&Suspect{}), nil
}
