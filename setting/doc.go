// Package setting reads the settings of commands from flags and environment
// variables. Each setting is declared once, with its name, default, range and
// help text; for example, the flag --listen-address and the variable
// CORIANDERBAY_LISTEN_ADDRESS hold the same setting. Flags take precedence.
//
// Start with NewSet, declare settings with its methods, call Bind when the
// command is created, and call Check when it starts. Execute runs a root command
// and returns the exit code.
package setting
