package lint

// Severity determines whether a finding prevents that a version is sent.
type Severity string

// The severities of findings.
const (
	// Error findings mean that the version must not be sent.
	Error Severity = "error"
	// Warning findings are valid content that may be unintended.
	Warning Severity = "warning"
)

// Code names the check that a finding results from.
type Code string

// The codes of the checks of this package.
const (
	CodeVersion   Code = "version"   // the version does not grow
	CodeAddress   Code = "address"   // an earlier route has the address and port
	CodeName      Code = "name"      // an earlier route has the name
	CodeService   Code = "service"   // a target that no upstream serves
	CodeHomes     Code = "homes"     // a home without an upstream
	CodeObjective Code = "objective" // the objective is above the timeout
	CodeCold      Code = "cold"      // the cold rate is above the maximum of flows
)

// Finding is one result of Check.
type Finding struct {
	Severity Severity
	Code     Code
	Place    Place
	// Text states the fault in one sentence without a full stop.
	Text string
}

// Place is the part of the routes that a finding concerns: VersionPlace, RoutePlace,
// TargetPlace, HomePlace or ServicePlace.
type Place interface{ isPlace() }

// VersionPlace is the version of the routes.
type VersionPlace struct{}

// Part is a field of a route or a service.
type Part uint8

// The fields that findings concern.
const (
	PartAddress Part = iota
	PartName
	PartObjective
	PartColdRate
)

// RoutePlace is a field of a route.
type RoutePlace struct {
	// Route is the index in the list of routes.
	Route int
	Part  Part
}

// TargetPlace is one target of a route.
type TargetPlace struct {
	// Route and Target are indexes in the lists of routes and of targets.
	Route  int
	Target int
}

// HomePlace is one home of a route.
type HomePlace struct {
	// Route and Home are indexes in the lists of routes and of homes.
	Route int
	Home  int
}

// ServicePlace is a field of the settings of a service.
type ServicePlace struct {
	Service string
	Part    Part
}

func (VersionPlace) isPlace() {}
func (RoutePlace) isPlace()   {}
func (TargetPlace) isPlace()  {}
func (HomePlace) isPlace()    {}
func (ServicePlace) isPlace() {}
