// Package generation decides which tokens belong to an answer.
//
// An answer is built from attempts. Every attempt has an identifier that is
// used once, and it continues the exact prefix that was accepted before it was
// opened. Answer.Accept is the only place where a token joins an answer.
package generation
