// Package generation decides which tokens belong to an answer.
//
// An answer is built from the tokens of one or more attempts. Every attempt has
// an ID that is used once, and it continues the exact prefix that was accepted
// before the attempt was opened. Answer.Accept is the only place where a token is
// added to an answer.
package generation
