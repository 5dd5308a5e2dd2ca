// Package setting holds the settings of a command in flags and environment
// variables. Each setting is declared once, with its name, default, range and
// help; the flag --listen-address and the variable CORIANDERBAY_LISTEN_ADDRESS
// set the same one, and the flag goes first.
//
// Start with NewSet, declare settings with its methods, and call Bind when the
// command is made and Check when it starts. Execute runs a root command and
// returns the exit code.
package setting
