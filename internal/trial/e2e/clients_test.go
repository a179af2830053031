package e2e

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"wisteriafield/internal/trial/fleet"
)

var _ = Describe("The official OpenAI client", func() {
	client := func(w *world) openai.Client {
		return openai.NewClient(
			option.WithBaseURL("http://"+w.CallerAddresses()[0]+"/v1/"), option.WithAPIKey(fleet.KeyScordia), option.WithMaxRetries(0),
		)
	}
	ask := openai.ChatCompletionNewParams{
		Model:     "redattore",
		MaxTokens: openai.Int(120),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Draft a proposal for a baker.")},
	}

	It("streams a whole answer through the death of engines", func() {
		w := given(3)
		c := client(w)
		stream := c.Chat.Completions.NewStreaming(w.ctx, ask)
		var acc openai.ChatCompletionAccumulator
		chunks := 0
		for stream.Next() {
			acc.AddChunk(stream.Current())
			chunks++
			if chunks == 40 {
				w.Process(w.Engines[0].Name).Kill()
				w.Process(w.Engines[1].Name).Kill()
			}
		}
		Expect(stream.Err()).NotTo(HaveOccurred())
		words := strings.Fields(acc.Choices[0].Message.Content)
		Expect(words).To(HaveLen(120))
		for i, word := range words {
			Expect(word).To(HavePrefix(fmt.Sprintf("%d.", i+1)))
		}
		Expect(acc.Choices[0].FinishReason).To(Equal("length"))
	})

	It("gets whole answers, models and refusals", func() {
		w := given(1)
		c := client(w)
		whole, err := c.Chat.Completions.New(w.ctx, ask)
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Fields(whole.Choices[0].Message.Content)).To(HaveLen(120))
		Expect(whole.Usage.CompletionTokens).To(BeEquivalentTo(120))
		old, err := c.Completions.New(w.ctx, openai.CompletionNewParams{
			Model: "redattore", MaxTokens: openai.Int(5), Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("Caro cliente")},
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Fields(old.Choices[0].Text)).To(HaveLen(5))
		models, err := c.Models.List(w.ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(models.Data).To(HaveLen(2))

		wrong := ask
		wrong.Model = "unheard-of"
		_, err = c.Chat.Completions.New(w.ctx, wrong)
		var refusal *openai.Error
		Expect(err).To(BeAssignableToTypeOf(refusal))
		Expect(err.(*openai.Error).Code).To(Equal("model_not_found"))
	})
})

var _ = Describe("Bad input", func() {
	post := func(w *world, path, key, body string) (int, string) {
		req, err := http.NewRequestWithContext(w.ctx, http.MethodPost, "http://"+w.CallerAddresses()[0]+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		if key != "" {
			req.Header.Set("Authorization", "Bearer "+key)
		}
		res, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer res.Body.Close()
		text, err := io.ReadAll(res.Body)
		Expect(err).NotTo(HaveOccurred())
		return res.StatusCode, string(text)
	}

	It("gets a clear refusal and disturbs nothing", func() {
		w := given(1)
		chat := "/v1/chat/completions"
		good := `{"model":"redattore","max_tokens":3,"messages":[{"role":"user","content":"x"}]}`
		for _, bad := range []struct {
			name, path, key, body string
			status                int
			code                  string
		}{
			{"no key", chat, "", good, 401, "invalid_api_key"},
			{"wrong key", chat, "nobody", good, 401, "invalid_api_key"},
			{"broken JSON", chat, fleet.KeyScordia, `{"model":`, 400, "invalid_request"},
			{"wrong type", chat, fleet.KeyScordia, `{"model":7}`, 400, "invalid_request"},
			{"binary", chat, fleet.KeyScordia, "\xff\xfe\x00", 400, "invalid_request"},
			{"no messages", chat, fleet.KeyScordia, `{"model":"redattore","messages":[]}`, 400, "invalid_request"},
			{"message without text", chat, fleet.KeyScordia, `{"model":"redattore","messages":[{"role":"user","content":7}]}`, 400, "invalid_request"},
			{"no tokens", chat, fleet.KeyScordia, `{"model":"redattore","max_tokens":0,"messages":[{"role":"user","content":"x"}]}`, 400, "invalid_request"},
			{"longer than the context", chat, fleet.KeyScordia, `{"model":"redattore","max_tokens":99999,"messages":[{"role":"user","content":"x"}]}`, 400, "invalid_request"},
			{"huge", chat, fleet.KeyScordia, `{"model":"` + strings.Repeat("x", 2<<20) + `"}`, 413, "request_too_large"},
			{"no such model", chat, fleet.KeyScordia, strings.Replace(good, "redattore", "gone", 1), 404, "model_not_found"},
			{"no such service", "/services/nothing/x", fleet.KeyScordia, "", 404, "service_not_found"},
			{"no such page", "/v2/anything", fleet.KeyScordia, "", 404, "not_found"},
		} {
			status, text := post(w, bad.path, bad.key, bad.body)
			Expect(status).To(Equal(bad.status), bad.name+": "+text)
			Expect(text).To(ContainSubstring(`"code":"`+bad.code+`"`), bad.name)
		}
		status, _ := post(w, chat, fleet.KeyScordia, good)
		Expect(status).To(Equal(200))
	})

	It("is cut off when headers come too slowly", func() {
		w := given(1)
		conn, err := net.Dial("tcp", w.CallerAddresses()[0])
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = conn.Write([]byte("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.SetReadDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
		_, err = io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred(), "the router closes the connection by itself")
	})
})

var _ = Describe("A caller", func() {
	It("reaches neither the routers' nor the operators' pages", func() {
		w := given(1)
		h := w.Routers[0].Host
		for _, url := range []string{
			"http://" + h.AdminAddress + "/dump", "http://" + h.AdminAddress + "/status", "http://" + h.AdminAddress + "/metrics",
			"http://" + h.PeerAddress + "/peer/v1/attempts", "http://" + h.PeerAddress + "/peer/v1/follow",
		} {
			req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader([]byte("{}")))
			Expect(err).NotTo(HaveOccurred())
			req.Header.Set("Authorization", "Bearer "+fleet.KeyScordia)
			res, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			Expect(res.Body.Close()).To(Succeed())
			Expect(res.StatusCode).To(Equal(http.StatusUnauthorized), url)
		}
		state, err := http.Post("http://"+w.Engines[0].Address+"/v1/order", "application/json", strings.NewReader(`{}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(state.Body.Close()).To(Succeed())
		Expect(state.StatusCode).To(Equal(http.StatusUnauthorized))
	})

	It("leaves no prompt and no key in logs or dumps", func() {
		w := given(2)
		secret := "Piazza-Segreta-77"
		req := draft(40)
		req.Prompt = secret
		answer, err := w.caller.Stream(w.ctx, w.CallerAddresses(), req, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Check(40)).To(Succeed())
		for _, r := range w.Routers {
			dump, err := w.command("dump", r.Host.Name)
			Expect(err).NotTo(HaveOccurred())
			for _, text := range []string{dump, w.logOf(r)} {
				Expect(text).NotTo(ContainSubstring(secret))
				Expect(text).NotTo(ContainSubstring(fleet.KeyQalamdaan))
				Expect(text).NotTo(ContainSubstring(answer.Texts[7]))
			}
		}
	})
})
