package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/user"
	"time"

	"wisteriafield/internal/config/manifest"
	"wisteriafield/internal/config/settings"
	"wisteriafield/internal/platform/publish"
	"wisteriafield/platform/kv"
)

// Environments of the documents: operators apply a document to trial and promote
// it to production.
const (
	trialEnvironment      = "trial"
	productionEnvironment = "production"
)

const commandTimeout = time.Minute

// changeCommand holds the flags and steps that apply and promote share.
type changeCommand struct {
	output
	Settings string        `long:"settings" required:"true" description:"operator settings: platform and admin credential"`
	Expect   int64         `long:"expect" default:"-1" description:"fail unless the store has this revision"`
	Wait     time.Duration `long:"wait" description:"how long to wait until all routers confirm"`
	JSON     bool          `long:"json" description:"print JSON"`
}

type applyCommand struct {
	changeCommand
	Args struct {
		File string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"true"`
}

// Execute writes a document as the next revision of trial.
func (c *applyCommand) Execute([]string) error {
	d, err := loadDocument(c.Args.File)
	if err != nil {
		return err
	}
	cfg, err := settings.LoadOperator(c.Settings)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	store := newStore(cfg)
	base, storeRevision, err := publish.ReadManifest(ctx, store, trialEnvironment)
	if err != nil {
		return err
	}
	if err := c.checkExpected(base, func() []routerStatus { return collectStatuses(ctx, cfg, trialEnvironment) }); err != nil {
		return err
	}
	m, err := publish.CommitDocument(ctx, store, base, storeRevision, d, origin())
	if err != nil {
		return err
	}
	return c.reportAndWait(ctx, cfg, m)
}

// checkExpected returns an error if the --expect flag names another revision than
// that of base.
func (c *changeCommand) checkExpected(base manifest.Manifest, routers func() []routerStatus) error {
	if c.Expect < 0 || base.Revision == c.Expect {
		return nil
	}
	if ahead := routersAhead(routers(), base.Position()); len(ahead) > 0 {
		return fmt.Errorf("expected revision %d, found %d, routers %v run a later one: %w", c.Expect, base.Revision, ahead, errStoreBehind)
	}
	return fmt.Errorf("expected revision %d: %w", c.Expect, &publish.RaceError{Winner: base})
}

// reportAndWait prints the new revision and, with --wait, waits until all routers
// confirm it.
func (c *changeCommand) reportAndWait(ctx context.Context, cfg settings.Settings, m manifest.Manifest) error {
	if c.JSON {
		_ = json.NewEncoder(c.out).Encode(m)
	} else {
		fmt.Fprintf(c.out, "%s: revision %d, digest %s\n", m.Environment, m.Revision, m.Digest)
	}
	if c.Wait == 0 {
		return nil
	}
	deadline := time.Now().Add(c.Wait)
	for {
		routers := collectStatuses(ctx, cfg, m.Environment)
		pending := unconfirmedRouters(routers, m.Position())
		if len(pending) == 0 && len(routers) > 0 {
			fmt.Fprintf(c.out, "%s: in force on %d routers\n", m.Environment, len(routers))
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%v: %w", pending, errUnconfirmed)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func newStore(cfg settings.Settings) *kv.Client {
	return kv.New(kv.Config{Address: cfg.Platform.Address, Credential: cfg.Platform.Credential, Timeout: cfg.Platform.Timeout})
}

// origin identifies this operator in the manifest, for an operator whose change is
// refused because this one came first.
func origin() string {
	name := "unknown"
	if u, err := user.Current(); err == nil {
		name = u.Username
	}
	host, _ := os.Hostname()
	return name + "@" + host
}
