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
	newClient := func(h *harness) openai.Client {
		return openai.NewClient(
			option.WithBaseURL("http://"+h.CallerAddresses()[0]+"/v1/"), option.WithAPIKey(fleet.KeyScordia), option.WithMaxRetries(0),
		)
	}
	params := openai.ChatCompletionNewParams{
		Model:     "redattore",
		MaxTokens: openai.Int(120),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Draft a proposal for a baker.")},
	}

	It("streams a complete answer when engines crash", func() {
		h := startFleet(3)
		client := newClient(h)
		stream := client.Chat.Completions.NewStreaming(h.ctx, params)
		var accumulator openai.ChatCompletionAccumulator
		chunks := 0
		for stream.Next() {
			accumulator.AddChunk(stream.Current())
			chunks++
			if chunks == 40 {
				h.Process(h.Engines[0].Name).Kill()
				h.Process(h.Engines[1].Name).Kill()
			}
		}
		Expect(stream.Err()).NotTo(HaveOccurred())
		words := strings.Fields(accumulator.Choices[0].Message.Content)
		Expect(words).To(HaveLen(120))
		for i, word := range words {
			Expect(word).To(HavePrefix(fmt.Sprintf("%d.", i+1)))
		}
		Expect(accumulator.Choices[0].FinishReason).To(Equal("length"))
	})

	It("gets complete answers, the list of models and errors", func() {
		h := startFleet(1)
		client := newClient(h)
		complete, err := client.Chat.Completions.New(h.ctx, params)
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Fields(complete.Choices[0].Message.Content)).To(HaveLen(120))
		Expect(complete.Usage.CompletionTokens).To(BeEquivalentTo(120))
		legacy, err := client.Completions.New(h.ctx, openai.CompletionNewParams{
			Model: "redattore", MaxTokens: openai.Int(5), Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("Caro cliente")},
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Fields(legacy.Choices[0].Text)).To(HaveLen(5))
		models, err := client.Models.List(h.ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(models.Data).To(HaveLen(2))

		unknownModel := params
		unknownModel.Model = "unheard-of"
		_, err = client.Chat.Completions.New(h.ctx, unknownModel)
		var apiError *openai.Error
		Expect(err).To(BeAssignableToTypeOf(apiError))
		Expect(err.(*openai.Error).Code).To(Equal("model_not_found"))
	})
})

var _ = Describe("An invalid request", func() {
	post := func(h *harness, path, key, body string) (int, string) {
		req, err := http.NewRequestWithContext(h.ctx, http.MethodPost, "http://"+h.CallerAddresses()[0]+path, strings.NewReader(body))
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

	It("is refused with its own status and code, and the router goes on serving", func() {
		h := startFleet(1)
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
			status, text := post(h, bad.path, bad.key, bad.body)
			Expect(status).To(Equal(bad.status), bad.name+": "+text)
			Expect(text).To(ContainSubstring(`"code":"`+bad.code+`"`), bad.name)
		}
		status, _ := post(h, chat, fleet.KeyScordia, good)
		Expect(status).To(Equal(200))
	})

	It("is cut off when its headers arrive too slowly", func() {
		h := startFleet(1)
		conn, err := net.Dial("tcp", h.CallerAddresses()[0])
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
	It("can use neither the peer and admin endpoints of a router nor the orders of an engine", func() {
		h := startFleet(1)
		host := h.Routers[0].Host
		for _, url := range []string{
			"http://" + host.AdminAddress + "/dump", "http://" + host.AdminAddress + "/status", "http://" + host.AdminAddress + "/metrics",
			"http://" + host.PeerAddress + "/peer/v1/attempts", "http://" + host.PeerAddress + "/peer/v1/follow",
		} {
			req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader([]byte("{}")))
			Expect(err).NotTo(HaveOccurred())
			req.Header.Set("Authorization", "Bearer "+fleet.KeyScordia)
			res, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			Expect(res.Body.Close()).To(Succeed())
			Expect(res.StatusCode).To(Equal(http.StatusUnauthorized), url)
		}
		res, err := http.Post("http://"+h.Engines[0].Address+"/v1/order", "application/json", strings.NewReader(`{}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Body.Close()).To(Succeed())
		Expect(res.StatusCode).To(Equal(http.StatusUnauthorized))
	})

	It("leaves no prompt, answer or key in logs or dumps", func() {
		h := startFleet(2)
		secret := "Piazza-Segreta-77"
		req := draftRequest(40)
		req.Prompt = secret
		answer, err := h.caller.Stream(h.ctx, h.CallerAddresses(), req, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Check(40)).To(Succeed())
		for _, r := range h.Routers {
			dump, err := h.command("dump", r.Host.Name)
			Expect(err).NotTo(HaveOccurred())
			for _, text := range []string{dump, h.readLog(r)} {
				Expect(text).NotTo(ContainSubstring(secret))
				Expect(text).NotTo(ContainSubstring(fleet.KeyQalamdaan))
				Expect(text).NotTo(ContainSubstring(answer.Texts[7]))
			}
		}
	})
})
