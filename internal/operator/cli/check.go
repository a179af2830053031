package cli

import (
	"fmt"
	"os"

	"wisteriafield/internal/config/document"
	"wisteriafield/internal/config/manifest"
	"wisteriafield/internal/config/settings"
	"wisteriafield/platform"
)

type checkCommand struct {
	output
	Host     bool `long:"host" description:"the files are host settings"`
	Platform bool `long:"platform" description:"the files are settings of the users' platform"`
	Args     struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"true"`
}

// Execute validates files and prints the digest of each document.
func (c *checkCommand) Execute([]string) error {
	for _, file := range c.Args.Files {
		if c.Host {
			if _, err := settings.Load(file); err != nil {
				return err
			}
			fmt.Fprintf(c.out, "%s: settings are in order\n", file)
			continue
		}
		if c.Platform {
			if err := c.checkPlatform(file); err != nil {
				return err
			}
			continue
		}
		d, err := loadDocument(file)
		if err != nil {
			return err
		}
		parts, _, err := manifest.Split(d)
		if err != nil {
			return fmt.Errorf("split: %w", err)
		}
		fmt.Fprintf(c.out, "%s: %d models, %d engines, %d organisations, %d services; digest %s\n",
			file, len(d.Models), len(d.Engines), len(d.Organisations), len(d.Services), manifest.DigestOf(parts))
	}
	return nil
}

// checkPlatform validates the settings of a router on the users' platform and prints what
// contradicts itself in them.
func (c *checkCommand) checkPlatform(file string) error {
	s, err := platform.LoadSettings(file)
	if err != nil {
		return err
	}
	lines := s.Contradictions()
	for _, line := range lines {
		fmt.Fprintf(c.out, "%s: %s\n", file, line)
	}
	if len(lines) > 0 {
		return fmt.Errorf("settings %s: %d contradictions", file, len(lines))
	}
	fmt.Fprintf(c.out, "%s: settings are in order\n", file)
	return nil
}

func loadDocument(file string) (*document.Document, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read document: %w", err)
	}
	return document.Parse(file, text)
}
