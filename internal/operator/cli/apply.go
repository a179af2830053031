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

// Environments that operators move documents through.
const (
	trial      = "trial"
	production = "production"
)

const commandTimeout = time.Minute

// change holds the flags that apply and promote share.
type change struct {
	output
	Settings string        `long:"settings" required:"true" description:"operator settings: platform and admin credential"`
	Expect   int64         `long:"expect" default:"-1" description:"fail unless this revision is in the store now"`
	Wait     time.Duration `long:"wait" description:"wait so long until all routers confirm"`
	JSON     bool          `long:"json" description:"print JSON"`
}

type applyCommand struct {
	change
	Args struct {
		File string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"true"`
}

// Execute writes a document to trial.
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
	base, at, err := publish.ReadManifest(ctx, store, trial)
	if err != nil {
		return err
	}
	if err := c.expected(base); err != nil {
		return err
	}
	m, err := publish.CommitDocument(ctx, store, base, at, d, origin())
	if err != nil {
		return err
	}
	return c.finish(ctx, cfg, m)
}

func (c *change) expected(base manifest.Manifest) error {
	if c.Expect >= 0 && base.Revision != c.Expect {
		return fmt.Errorf("expected revision %d: %w", c.Expect, &publish.RaceError{Winner: base})
	}
	return nil
}

// finish reports the new revision and, if asked, waits until it is in force.
func (c *change) finish(ctx context.Context, cfg settings.Settings, m manifest.Manifest) error {
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
		routers := collect(ctx, cfg, m.Environment)
		left := unconfirmed(routers, m.Revision)
		if len(left) == 0 && len(routers) > 0 {
			fmt.Fprintf(c.out, "%s: in force on %d routers\n", m.Environment, len(routers))
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%v: %w", left, errUnconfirmed)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func newStore(cfg settings.Settings) *kv.Client {
	return kv.New(kv.Config{Address: cfg.Platform.Address, Credential: cfg.Platform.Credential, Timeout: cfg.Platform.Timeout})
}

// origin names this operator to the loser of a race.
func origin() string {
	name := "unknown"
	if u, err := user.Current(); err == nil {
		name = u.Username
	}
	host, _ := os.Hostname()
	return name + "@" + host
}
