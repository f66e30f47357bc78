// Command wigeontray is the entry and the operators' tool.
package main

func main() {}
