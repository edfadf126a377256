package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/olekukonko/tablewriter"

	"bulrushhinge.example/bulrushhinge/internal/operator"
	"bulrushhinge.example/bulrushhinge/internal/platform"
)

const (
	stateTimeout  = 10 * time.Second
	maxStateBytes = 64 << 20
)

// errState is returned if a node's state cannot be read.
var errState = errors.New("state: the node did not answer")

// stateCommand shows the state of a running node.
type stateCommand struct {
	Operators address `help:"Address and port of the node's operators' listener." default:"127.0.0.1:8082"`
	Token     string  `help:"The node's operators' token."`
	Request   string  `help:"Show the decisions on this request instead." placeholder:"ID"`
	JSON      bool    `name:"json" help:"Print the whole dump as JSON."`
}

// Validate reports every invalid setting at once.
func (c *stateCommand) Validate() error { return checkSettings(c) }

// Run prints the state.
func (c *stateCommand) Run() error {
	switch {
	case c.Request != "":
		return c.copy("/requests/" + c.Request)
	case c.JSON:
		return c.copy("/state")
	default:
		return c.show()
	}
}

func (c *stateCommand) show() error {
	var revision operator.Revision
	var instances operator.Instances
	var state struct {
		Platform []platform.Status `json:"platform"`
	}
	err := errors.Join(c.fetch("/revision", &revision), c.fetch("/instances", &instances), c.fetch("/state", &state))
	if err != nil {
		return err
	}
	fmt.Printf("revision in force: %d\n\nplatform\n", revision.Revision)
	table([]string{"key", "version", "answered", "failures", "trouble"}, platformRows(state.Platform))
	fmt.Println("\nnodes")
	table([]string{"node", "zone", "state"}, rowsOf(instances.Nodes, func(i operator.Instance) []string {
		return []string{i.Name, i.Zone, i.State.String()}
	}))
	fmt.Println("\nendpoints")
	table([]string{"endpoint", "service", "zone", "state", "home", "requests", "tokens"}, rowsOf(instances.Endpoints, func(i operator.Instance) []string {
		return []string{i.Name, i.Service, i.Zone, i.State.String(), i.Owner, fmt.Sprint(i.Requests), fmt.Sprint(i.Tokens)}
	}))
	return nil
}

func (c *stateCommand) copy(path string) error {
	body, err := c.get(path)
	if err != nil {
		return err
	}
	defer body.Close()
	_, err = io.Copy(os.Stdout, body)
	return err
}

func (c *stateCommand) fetch(path string, value any) error {
	body, err := c.get(path)
	if err != nil {
		return err
	}
	defer body.Close()
	if err := json.NewDecoder(io.LimitReader(body, maxStateBytes)).Decode(value); err != nil {
		return fmt.Errorf("%w: %s: %v", errState, path, err)
	}
	return nil
}

func (c *stateCommand) get(path string) (io.ReadCloser, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+c.Operators.String()+path, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errState, err)
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	client := http.Client{Timeout: stateTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errState, err)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		return nil, fmt.Errorf("%w: %s: %s", errState, resp.Status, strings.TrimSpace(string(text)))
	}
	return resp.Body, nil
}

func platformRows(list []platform.Status) [][]string {
	return rowsOf(list, func(s platform.Status) []string {
		answered := "never"
		if !s.Answered.IsZero() {
			answered = s.Answered.Format(time.RFC3339)
		}
		trouble := strings.TrimSpace(s.Error + " " + s.Refused)
		if s.Behind {
			trouble = strings.TrimSpace("behind " + trouble)
		}
		return []string{s.Key, fmt.Sprint(s.Version), answered, fmt.Sprint(s.Failures), trouble}
	})
}

func rowsOf[T any](list []T, row func(T) []string) [][]string {
	rows := make([][]string, len(list))
	for i, entry := range list {
		rows[i] = row(entry)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i][0] < rows[j][0] })
	return rows
}

func table(head []string, rows [][]string) {
	t := tablewriter.NewWriter(os.Stdout)
	t.Header(head)
	_ = t.Bulk(rows)
	_ = t.Render()
}
