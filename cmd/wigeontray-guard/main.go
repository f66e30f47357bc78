// Command wigeontray-guard runs beside one upstream.
package main

func main() {}
