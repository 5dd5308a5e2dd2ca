// Command corianderbay runs the processes of the load balancer and the stand-ins for trials.
package main

func main() {}
