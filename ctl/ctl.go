// Package ctl holds the commands of zinniactl.
//
// Exit codes: 0 the command succeeded, 1 it was refused, 2 the command line is wrong,
// 3 no control member gave an answer, so the outcome of a change may be unknown.
package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/operator"
)

// Exit codes of zinniactl.
const (
	ExitOK       = 0
	ExitRefused  = 1
	ExitUsage    = 2
	ExitNoAnswer = 3
)

const description = `Operate a zinniapier deployment.

Exit codes: 0 ok; 1 refused; 2 wrong command line; 3 no answer, the outcome of a change may be unknown: ` +
	`read the status before repeating it.`

// defaultControl is the operator address that zinnia-dev listens on.
const defaultControl = "127.0.0.1:8090"

// app holds the global flags and the output of one run.
type app struct {
	out io.Writer

	control     []string
	json        bool
	timeout     time.Duration
	baseVersion uint64
	baseGiven   bool
	changeID    string
	tls         config.TLSFiles
}

// exit ends the run from within kingpin, for flags such as --help.
type exit struct{ code int }

// Run executes one command line and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) (code int) {
	defer func() {
		switch r := recover().(type) {
		case nil:
		case exit:
			code = r.code
			if !slices.ContainsFunc(args, asksForHelp) {
				// kingpin prints the usage for a command line without a command.
				code = ExitUsage
			}
		default:
			panic(r)
		}
	}()
	a := &app{out: stdout}
	_, err := a.parser(stdout, stderr).Parse(args)
	if err == nil {
		return ExitOK
	}
	var refusal *errkind.Error
	if !errors.As(err, &refusal) {
		fmt.Fprintf(stderr, "zinniactl: %v, try --help\n", err)
		return ExitUsage
	}
	a.printError(stderr, refusal)
	return exitCode(refusal.Kind)
}

func asksForHelp(arg string) bool {
	return arg == "help" || arg == "-h" || strings.HasPrefix(arg, "--help")
}

// exitCode tells a refusal from a missing answer.
func exitCode(kind errkind.Kind) int {
	switch kind {
	case errkind.NodeUnreachable, errkind.Unknown, errkind.NotLeader, errkind.NoQuorum, errkind.ShuttingDown:
		return ExitNoAnswer
	default:
		return ExitRefused
	}
}

func (a *app) printError(w io.Writer, e *errkind.Error) {
	if a.json {
		_ = json.NewEncoder(w).Encode(e)
		return
	}
	fmt.Fprintf(w, "zinniactl: %v\n", e)
}

// parser declares the global flags and all commands.
func (a *app) parser(stdout, stderr io.Writer) *kingpin.Application {
	k := kingpin.New("zinniactl", description)
	k.UsageWriter(stdout)
	k.ErrorWriter(stderr)
	k.Terminate(func(code int) { panic(exit{code}) })
	k.HelpFlag.Short('h')
	k.Flag("control", "Operator address of a control member, host:port; repeat it for several. Default "+defaultControl+".").
		PlaceHolder("ADDRESS").StringsVar(&a.control)
	k.Flag("json", "Print JSON.").BoolVar(&a.json)
	k.Flag("timeout", "Time limit of each call, over all control members.").Default("10s").DurationVar(&a.timeout)
	k.Flag("base-version", "Configuration version that a change is based on. Default: the current one, read first.").
		PlaceHolder("N").IsSetByUser(&a.baseGiven).Uint64Var(&a.baseVersion)
	k.Flag("change-id", "Id of the change; repeat a change whose outcome is unknown under the same id. Default: random.").
		PlaceHolder("ID").StringVar(&a.changeID)
	k.Flag("tls-certificate", "PEM file of the operator's certificate.").PlaceHolder("FILE").StringVar(&a.tls.Certificate)
	k.Flag("tls-key", "PEM file of the certificate's private key.").PlaceHolder("FILE").StringVar(&a.tls.Key)
	k.Flag("tls-authority", "PEM file of the authority of the control members.").PlaceHolder("FILE").StringVar(&a.tls.Authority)
	a.fileCommands(k)
	a.statusCommand(k)
	a.placeCommands(k)
	a.rolloutCommands(k)
	a.explainCommand(k)
	a.organisationCommands(k)
	a.keyCommands(k)
	a.memberCommands(k)
	return k
}

// action adapts a command that talks to the control members.
func (a *app) action(run func(ctx context.Context, c *operator.Client) error) kingpin.Action {
	return func(*kingpin.ParseContext) error {
		addresses := a.control
		if len(addresses) == 0 {
			addresses = []string{defaultControl}
		}
		pair, err := a.tls.Load()
		if err != nil {
			return err
		}
		client, err := operator.New(operator.Options{Addresses: addresses, Timeout: a.timeout, TLS: pair.Client})
		if err != nil {
			return errors.New(errkind.From(err).Message)
		}
		return run(context.Background(), client)
	}
}

// change submits a change that is based on --base-version or on the current version. When the
// outcome is unknown, the error names the id and version for a resend, which gets the first answer.
func (a *app) change(ctx context.Context, c *operator.Client, change api.Change) (uint64, error) {
	change.ID = a.changeID
	if change.ID == "" {
		change.ID = api.NewID()
	}
	change.BaseVersion = a.baseVersion
	if !a.baseGiven {
		current, err := c.Configuration(ctx)
		if err != nil {
			return 0, err
		}
		change.BaseVersion = current.Version
	}
	version, err := c.Change(ctx, change)
	if kind := errkind.Of(err); err != nil && exitCode(kind) == ExitNoAnswer {
		return version, errkind.New(kind, "%s; repeat with --change-id %s --base-version %d",
			errkind.From(err).Message, change.ID, change.BaseVersion)
	}
	return version, err
}

// submit is a command that makes one change and prints the new version.
func (a *app) submit(build func() (api.Change, error)) kingpin.Action {
	return a.action(func(ctx context.Context, c *operator.Client) error {
		change, err := build()
		if err != nil {
			return err
		}
		version, err := a.change(ctx, c, change)
		if err != nil {
			return err
		}
		return a.print(api.ChangeResult{Version: version}, func(w io.Writer) {
			fmt.Fprintf(w, "accepted: configuration version %d\n", version)
		})
	})
}
