// Package sqltext parses the small part of SQL that the stand-in endpoint
// understands into a syntax tree. Everything else gives an *Error with the
// SQLSTATE that a PostgreSQL server would use.
package sqltext

// Type is the type of a column, parameter or result.
type Type uint8

// Types of the stand-in's values.
const (
	Unknown Type = iota
	Text
	Int4
	Int8
	Bool
	Float8
	Void
)

// Stmt is one parsed statement.
type Stmt interface{ stmt() }

// Expr is one parsed expression.
type Expr interface{ expr() }

// Literal is a constant. Null has Null set.
type Literal struct {
	Text string
	Null bool
	Type Type
}

// Param is the parameter $N, counted from 1.
type Param struct{ N int }

// Column names a column of the statement's table; the prefix "excluded." names
// the row that an INSERT proposed.
type Column struct{ Name string }

// Cast is Arg::Type.
type Cast struct {
	Arg  Expr
	Type Type
}

// Binary is an arithmetic expression: Op is "+", "-", "*" or "||".
type Binary struct {
	Op   string
	L, R Expr
}

// Call is a function call.
type Call struct {
	Name string
	Args []Expr
}

func (Literal) expr() {}
func (Param) expr()   {}
func (Column) expr()  {}
func (Cast) expr()    {}
func (Binary) expr()  {}
func (Call) expr()    {}

// Item is one entry of a select list. Star stands for every column.
type Item struct {
	Expr Expr
	Name string
	Star bool
}

// Cond is one comparison; the conditions of a WHERE clause are joined by AND.
// Op is "=", "<>", "<", ">", "<=", ">=" or "in".
type Cond struct {
	L  Expr
	Op string
	R  []Expr
}

// Order is one entry of ORDER BY.
type Order struct {
	Column string
	Desc   bool
}

// Assign is one "column = expression" of an UPDATE.
type Assign struct {
	Column string
	Value  Expr
}

// ColumnDef is one column of CREATE TABLE.
type ColumnDef struct {
	Name string
	Type Type
	Key  bool
}

// Select reads constants or one table. From is empty for constants. ForUpdate
// locks the rows that are read.
type Select struct {
	Items     []Item
	From      string
	Where     []Cond
	OrderBy   []Order
	Limit     Expr
	ForUpdate bool
}

// Insert adds rows. DoNothing and DoUpdate come from ON CONFLICT.
type Insert struct {
	Table     string
	Columns   []string
	Rows      [][]Expr
	DoNothing bool
	DoUpdate  []Assign
	Returning []Item
}

// Update changes rows.
type Update struct {
	Table     string
	Set       []Assign
	Where     []Cond
	Returning []Item
}

// Delete removes rows.
type Delete struct {
	Table     string
	Where     []Cond
	Returning []Item
}

// CreateTable adds a table.
type CreateTable struct {
	Table       string
	IfNotExists bool
	Columns     []ColumnDef
}

// DropTable removes a table.
type DropTable struct {
	Table    string
	IfExists bool
}

// Access is a transaction access mode.
type Access uint8

// Access modes of a transaction.
const (
	AccessDefault Access = iota
	AccessReadOnly
	AccessReadWrite
)

// Begin starts a transaction block.
type Begin struct{ Access Access }

// Commit ends a transaction block.
type Commit struct{}

// Rollback abandons a transaction block.
type Rollback struct{}

// SetTransaction changes the access mode of the transaction, or of the
// session's later transactions.
type SetTransaction struct {
	Access  Access
	Session bool
}

// Set changes a session setting; Local lasts until the transaction ends.
type Set struct {
	Name, Value string
	Local       bool
}

// Show reads a session setting.
type Show struct{ Name string }

// Reset restores a setting, or every setting when Name is empty.
type Reset struct{ Name string }

// Discard resets the whole session.
type Discard struct{}

// Deallocate drops a prepared statement, or all when Name is empty.
type Deallocate struct{ Name string }

// Listen is accepted without effect.
type Listen struct{ Tag string }

// Hemlock is a command of the endpoint contract: its words in order, the first
// in capitals.
type Hemlock struct{ Words []string }

func (Select) stmt()         {}
func (Insert) stmt()         {}
func (Update) stmt()         {}
func (Delete) stmt()         {}
func (CreateTable) stmt()    {}
func (DropTable) stmt()      {}
func (Begin) stmt()          {}
func (Commit) stmt()         {}
func (Rollback) stmt()       {}
func (SetTransaction) stmt() {}
func (Set) stmt()            {}
func (Show) stmt()           {}
func (Reset) stmt()          {}
func (Discard) stmt()        {}
func (Deallocate) stmt()     {}
func (Listen) stmt()         {}
func (Hemlock) stmt()        {}

// Error is a refusal with its SQLSTATE.
type Error struct{ Code, Message, Detail string }

func (e *Error) Error() string { return e.Code + ": " + e.Message }

// SQLSTATE codes that the parser gives.
const (
	CodeSyntax      = "42601"
	CodeUnsupported = "0A000"
	CodeNoType      = "42704"
)
