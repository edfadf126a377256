package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"bulrushhinge.example/bulrushhinge/internal/loopback"
)

const demoReady = 30 * time.Second

var errDemo = errors.New("demo: a request was not answered whole")

type demoCommand struct {
	Deployment string `help:"Example deployment: thies or karamanlis." enum:"thies,karamanlis" default:"thies"`
	Serve      bool   `help:"Keep the deployment up and print a curl line."`
	Requests   int    `help:"How many chat requests to send." default:"200"`
}

// Run runs the demo.
func (c *demoCommand) Run() error {
	config := loopback.Thies()
	if c.Deployment == "karamanlis" {
		config = loopback.Karamanlis()
	}
	log := logrus.New()
	log.SetLevel(logrus.ErrorLevel)
	config.Log = log
	fleet, err := loopback.New(config)
	if err != nil {
		return err
	}
	defer fleet.Close()
	ctx, cancel := context.WithTimeout(context.Background(), demoReady)
	defer cancel()
	if err := fleet.Ready(ctx); err != nil {
		return err
	}
	model := config.Manifest.Models[0].Name
	if err := c.load(fleet, config.Nodes, model); err != nil {
		return err
	}
	if c.Serve {
		serve(fleet, model)
	}
	return nil
}

func (c *demoCommand) load(fleet *loopback.Fleet, nodes []loopback.NodeConfig, model string) error {
	whole := 0
	for i := range c.Requests {
		node := nodes[i%len(nodes)].Name
		if ask(fleet, node, model, i) {
			whole++
		}
	}
	fmt.Fprintf(os.Stdout, "%d of %d requests answered whole by %d nodes\n", whole, c.Requests, len(nodes))
	if whole < c.Requests {
		return errDemo
	}
	return nil
}

func ask(fleet *loopback.Fleet, node, model string, i int) bool {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":4,"messages":[{"role":"user","content":"question %d"}]}`, model, i)
	url := fmt.Sprintf("http://%v/v1/chat/completions", fleet.Caller(node))
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+loopback.Secret("a1"))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return err == nil && strings.HasSuffix(string(data), "data: [DONE]\n\n")
}

func serve(fleet *loopback.Fleet, model string) {
	fmt.Fprintf(os.Stdout, "curl -N -H 'Authorization: Bearer %s' http://%v/v1/chat/completions "+
		"-d '{\"model\":%q,\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n",
		loopback.Secret("a1"), fleet.Caller("n1"), model)
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	<-stop.Done()
}
