package main

import (
	"crypto/ed25519"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"bulrushhinge.example/bulrushhinge/internal/platform"
	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

const (
	dirMode  = 0o755
	fileMode = 0o644
)

// errNotNewer is returned if a proposal's revision is not above the one in force.
var errNotNewer = errors.New("manifest: the revision must be above the one in force")

type (
	manifestCommand struct {
		Check  manifestCheck  `cmd:"" help:"Name everything that is wrong with a manifest."`
		Diff   manifestDiff   `cmd:"" help:"Say in plain words what a manifest would change."`
		Split  manifestSplit  `cmd:"" help:"Write the values that the pipeline publishes for a manifest."`
		Accept manifestAccept `cmd:"" help:"Print a signed record that accepts a manifest."`
		Reject manifestReject `cmd:"" help:"Print a signed record that rejects a manifest."`
		Key    manifestKey    `cmd:"" help:"Make an operator's key pair: seed (secret) and public key, in hexadecimal."`
	}

	manifestCheck struct {
		File string `arg:"" help:"Manifest; - is the standard input."`
	}

	manifestDiff struct {
		Old  string `arg:"" help:"Manifest in force."`
		New  string `arg:"" help:"Proposed manifest."`
		JSON bool   `name:"json" help:"Print the changes as JSON."`
	}

	manifestSplit struct {
		File string `arg:"" help:"Manifest; - is the standard input."`
		Dir  string `arg:"" optional:"" help:"Directory to write to, a file a value named by its key; without one, a JSON line a value goes to the standard output."`
	}

	manifestAccept struct {
		File string     `arg:"" help:"Manifest; - is the standard input."`
		Old  string     `help:"Manifest in force: its changes are shown, and a revision that is not above it is refused." placeholder:"FILE"`
		Seed privateKey `help:"Seed of the operator's key, in hexadecimal (required)." need:"true" placeholder:"SEED"`
	}

	manifestReject struct {
		File string     `arg:"" help:"Manifest; - is the standard input."`
		Seed privateKey `help:"Seed of the operator's key, in hexadecimal (required)." need:"true" placeholder:"SEED"`
	}

	manifestKey struct{}

	// published is one value in the form in which the pipeline publishes it.
	published struct {
		Key   string          `json:"key"`
		Value json.RawMessage `json:"value"`
	}
)

// Run validates a manifest and prints a summary.
func (c *manifestCheck) Run() error {
	m, err := readManifest(c.File)
	if err != nil {
		return err
	}
	parts, err := manifest.Split(m)
	if err != nil {
		return err
	}
	fmt.Printf("revision %d is well formed: %d deployments, %d availability zones, %d models, %d services, %d accounts; digest %s\n",
		m.Revision, len(m.Deployments), len(m.Zones), len(m.Models), len(m.Services), len(m.Accounts), parts.Digest)
	return nil
}

// Run prints what a manifest would change.
func (c *manifestDiff) Run() error {
	before, after, err := readBoth(c.Old, c.New)
	if err != nil {
		return err
	}
	changes := manifest.Diff(before, after)
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(changes)
	}
	printChanges(os.Stdout, changes)
	return nil
}

// Run writes the values that are published for a manifest.
func (c *manifestSplit) Run() error {
	m, err := readManifest(c.File)
	if err != nil {
		return err
	}
	parts, err := manifest.Split(m)
	if err != nil {
		return err
	}
	out := json.NewEncoder(os.Stdout)
	for _, d := range slices.Sorted(maps.Keys(parts.Values)) {
		key := platform.PrefixManifest + string(d)
		if c.Dir == "" {
			err = out.Encode(published{Key: key, Value: parts.Values[d]})
		} else {
			err = writeValue(c.Dir, key, parts.Values[d])
		}
		if err != nil {
			return fmt.Errorf("split: %w", err)
		}
	}
	return nil
}

// Validate reports every invalid setting at once.
func (c *manifestAccept) Validate() error { return checkSettings(c) }

// Run prints a record of acceptance.
func (c *manifestAccept) Run() error {
	m, err := readManifest(c.File)
	if err != nil {
		return err
	}
	if c.Old != "" {
		if err := showChanges(c.Old, m); err != nil {
			return err
		}
	}
	return printRecord(m, c.Seed.key, manifest.Accept)
}

// showChanges prints the changes from the manifest in force to m. It returns
// errNotNewer if m's revision is not above the one in force.
func showChanges(old string, m *manifest.Manifest) error {
	before, err := readManifest(old)
	if err != nil {
		return err
	}
	if m.Revision <= before.Revision {
		return fmt.Errorf("%w: %d, in force %d", errNotNewer, m.Revision, before.Revision)
	}
	printChanges(os.Stderr, manifest.Diff(before, m))
	return nil
}

// Validate reports every invalid setting at once.
func (c *manifestReject) Validate() error { return checkSettings(c) }

// Run prints a record of rejection.
func (c *manifestReject) Run() error {
	m, err := readManifest(c.File)
	if err != nil {
		return err
	}
	return printRecord(m, c.Seed.key, manifest.Reject)
}

// Run generates and prints a key pair.
func (c *manifestKey) Run() error {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return fmt.Errorf("key: %w", err)
	}
	return json.NewEncoder(os.Stdout).Encode(map[string]string{
		"seed":   hex.EncodeToString(private.Seed()),
		"public": hex.EncodeToString(public),
	})
}

func printRecord(m *manifest.Manifest, key ed25519.PrivateKey, sign func(ed25519.PrivateKey, uint64, manifest.Digest) manifest.Record) error {
	parts, err := manifest.Split(m)
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(sign(key, m.Revision, parts.Digest))
}

func printChanges(w io.Writer, changes []manifest.Change) {
	if len(changes) == 0 {
		fmt.Fprintln(w, "nothing changes")
	}
	for _, c := range changes {
		fmt.Fprintln(w, c)
	}
}

func readBoth(before, after string) (*manifest.Manifest, *manifest.Manifest, error) {
	a, errA := readManifest(before)
	b, errB := readManifest(after)
	return a, b, errors.Join(errA, errB)
}

func readManifest(file string) (*manifest.Manifest, error) {
	read := func() ([]byte, error) { return os.ReadFile(file) }
	if file == "-" {
		read = func() ([]byte, error) { return io.ReadAll(os.Stdin) }
	}
	data, err := read()
	if err != nil {
		return nil, fmt.Errorf("manifest: %w", err)
	}
	m, err := manifest.Parse(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return m, nil
}

func writeValue(dir, key string, data []byte) error {
	file := filepath.Join(dir, filepath.FromSlash(key))
	if err := os.MkdirAll(filepath.Dir(file), dirMode); err != nil {
		return err
	}
	return os.WriteFile(file, data, fileMode)
}
