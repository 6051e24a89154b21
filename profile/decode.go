package profile

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/url"

	"github.com/creasty/defaults"
	"github.com/joomcode/errorx"
	"go.yaml.in/yaml/v3"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("profile")
	// BadFile is returned for a text that is no configuration.
	BadFile = Errors.NewType("badFile")
	// BadValue is returned for a key whose value is not allowed.
	BadValue = Errors.NewType("badValue")
)

// Format is the newest version of the file format that this program reads.
const Format = 1

// MaxBytes is the largest configuration that the platform keeps.
const MaxBytes = 1 << 20

// Decode reads a configuration in YAML, sets defaults and checks it. The
// error names every fault found, each with the file's name, line and key.
func Decode(file string, text []byte) (*Configuration, error) {
	if len(text) > MaxBytes {
		return nil, BadFile.New("%s: %d bytes, at most %d", file, len(text), MaxBytes)
	}
	configuration := &Configuration{}
	if err := decodeStrict(text, configuration); err != nil {
		return nil, BadFile.Wrap(err, "%s", file)
	}
	if err := setDefaults(configuration); err != nil {
		return nil, fmt.Errorf("set defaults of %s: %w", file, err)
	}
	checker := newChecker(file, text)
	checker.check(configuration)
	if len(checker.faults) > 0 {
		return nil, fmt.Errorf("check configuration: %w", errors.Join(checker.faults...))
	}
	return configuration, nil
}

// Encode writes a configuration as YAML.
func Encode(configuration *Configuration) ([]byte, error) {
	text, err := yaml.Marshal(configuration)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	return text, nil
}

func decodeStrict(text []byte, into any) error {
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	if err := decoder.Decode(into); err != nil {
		if errors.Is(err, io.EOF) {
			return BadFile.New("the file is empty")
		}
		return fmt.Errorf("read YAML: %w", err)
	}
	if err := decoder.Decode(&struct{}{}); !errors.Is(err, io.EOF) {
		return BadFile.New("more than one YAML document")
	}
	return nil
}

func setDefaults(configuration *Configuration) error {
	if err := defaults.Set(configuration); err != nil {
		return fmt.Errorf("set defaults: %w", err)
	}
	return nil
}

type checker struct {
	file   string
	root   *yaml.Node
	faults []error
}

func newChecker(file string, text []byte) *checker {
	checker := &checker{file: file, root: &yaml.Node{}}
	// The text was decoded before; on an error lines are merely unknown.
	_ = yaml.Unmarshal(text, checker.root)
	return checker
}

func (checker *checker) fault(path []any, format string, arguments ...any) {
	message := fmt.Sprintf(format, arguments...)
	place := fmt.Sprintf("%s:%d: %s", checker.file, checker.line(path), keyName(path))
	checker.faults = append(checker.faults, BadValue.New("%s: %s", place, message))
}

func keyName(path []any) string {
	name := ""
	for _, step := range path {
		switch step := step.(type) {
		case string:
			if name != "" {
				name += "."
			}
			name += step
		case int:
			name += fmt.Sprintf("[%d]", step)
		}
	}
	return name
}

func (checker *checker) line(path []any) int {
	node := checker.root
	if len(node.Content) > 0 {
		node = node.Content[0]
	}
	line := node.Line
	for _, step := range path {
		node = descend(node, step)
		if node == nil {
			break
		}
		line = node.Line
	}
	return line
}

func descend(node *yaml.Node, step any) *yaml.Node {
	switch step := step.(type) {
	case int:
		if node.Kind == yaml.SequenceNode && step < len(node.Content) {
			return node.Content[step]
		}
	case string:
		if node.Kind != yaml.MappingNode {
			return nil
		}
		for i := 0; i+1 < len(node.Content); i += 2 {
			if node.Content[i].Value == step {
				return node.Content[i+1]
			}
		}
	}
	return nil
}

func (checker *checker) check(configuration *Configuration) {
	if configuration.Format != Format {
		checker.fault([]any{"format"}, "is %d, this program reads %d", configuration.Format, Format)
		return
	}
	tiers := checker.checkTiers(configuration.Tiers)
	profiles := checker.checkProfiles(configuration.Profiles, tiers)
	checker.checkWorkspaces(configuration.Workspaces)
	checker.checkPools(configuration.Pools, profiles)
}

func (checker *checker) checkTiers(tiers []string) nameSet {
	names := nameSet{}
	if len(tiers) == 0 {
		checker.fault([]any{"tiers"}, "lists no tier, at least one is needed")
	}
	for i, tier := range tiers {
		checker.checkName([]any{"tiers", i}, tier, names)
	}
	return names
}

func (checker *checker) checkProfiles(profiles []Profile, tiers nameSet) nameSet {
	names := nameSet{}
	for i, profile := range profiles {
		path := []any{"profiles", i}
		checker.checkName(at(path, "name"), profile.Name, names)
		if !tiers.has(profile.Tier) {
			checker.fault(at(path, "tier"), "%q is not a tier, allowed: %s", profile.Tier, tiers)
		}
		if profile.Deadline <= 0 {
			checker.fault(at(path, "deadline"), "is %s, must be above 0", profile.Deadline)
		}
	}
	return names
}

func (checker *checker) checkWorkspaces(workspaces []Workspace) {
	names := nameSet{}
	hashes := nameSet{}
	for i, workspace := range workspaces {
		path := []any{"workspaces", i}
		checker.checkName(at(path, "name"), workspace.Name, names)
		if workspace.Weight < 1 {
			checker.fault(at(path, "weight"), "is %d, must be at least 1", workspace.Weight)
		}
		for j, hash := range workspace.TokenHashes {
			place := at(path, "tokenHashes", j)
			if len(hash) != 64 {
				checker.fault(place, "is no SHA-256 sum in hexadecimal")
			}
			checker.checkName(place, hash, hashes)
		}
	}
}

func (checker *checker) checkPools(pools []Pool, profiles nameSet) {
	names := nameSet{}
	for i, pool := range pools {
		path := []any{"pools", i}
		checker.checkName(at(path, "name"), pool.Name, names)
		if pool.Kind != KindModel && pool.Kind != KindService {
			checker.fault(at(path, "kind"), "is %q, allowed: %s, %s", pool.Kind, KindModel, KindService)
		}
		if !profiles.has(pool.Profile) {
			checker.fault(at(path, "profile"), "%q is not a profile, allowed: %s", pool.Profile, profiles)
		}
		for j, profile := range pool.Profiles {
			if !profiles.has(profile) {
				checker.fault(at(path, "profiles", j), "%q is not a profile, allowed: %s", profile, profiles)
			}
		}
		checker.checkTargets(path, pool.Targets)
	}
}

func (checker *checker) checkTargets(path []any, targets []Target) {
	names := nameSet{}
	for i, target := range targets {
		place := at(path, "targets", i)
		checker.checkName(at(place, "name"), target.Name, names)
		address, err := url.Parse(target.Address)
		if err != nil || address.Host == "" {
			checker.fault(at(place, "address"), "%q is no URL such as http://10.0.0.1:8000", target.Address)
		}
		if target.Protocol == "" {
			checker.fault(at(place, "protocol"), "is missing")
		}
		if target.Slots < 1 {
			checker.fault(at(place, "slots"), "is %d, must be at least 1", target.Slots)
		}
	}
}

func (checker *checker) checkName(path []any, name string, seen nameSet) {
	if name == "" {
		checker.fault(path, "is missing")
		return
	}
	if seen.has(name) {
		checker.fault(path, "%q stands twice", name)
	}
	seen[name] = struct{}{}
}

func at(path []any, steps ...any) []any {
	return append(append([]any(nil), path...), steps...)
}
