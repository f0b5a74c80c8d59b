// Package sqltext parses the subset of SQL that the stand-in endpoint supports
// into a syntax tree. Anything else is rejected with an *Error that carries the
// SQLSTATE of a PostgreSQL server.
package sqltext

// Type is the type of a column, parameter or result.
type Type uint8

// Types of the values that the stand-in endpoint stores and returns.
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

// Literal is a constant. The constant NULL has Null set.
type Literal struct {
	Text string
	Null bool
	Type Type
}

// Param is the statement parameter $N; N starts at 1.
type Param struct{ N int }

// Column names a column of the statement's table. With the prefix "excluded."
// it names a column of the row that an INSERT with ON CONFLICT proposes.
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

// Item is one entry of a select list or RETURNING clause. Star stands for all
// columns of the table.
type Item struct {
	Expr Expr
	Name string
	Star bool
}

// Cond is one comparison. The conditions of a WHERE clause are joined by AND.
// Op is "=", "<>", "<", ">", "<=", ">=" or "in"; only "in" takes several
// operands in R.
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
type Assignment struct {
	Column string
	Value  Expr
}

// ColumnDef is one column of CREATE TABLE. Key marks the primary key or a unique
// column.
type ColumnDef struct {
	Name string
	Type Type
	Key  bool
}

// Select reads one table, or only evaluates its items when From is empty.
// ForUpdate locks the rows that are read.
type Select struct {
	Items     []Item
	From      string
	Where     []Cond
	OrderBy   []Order
	Limit     Expr
	ForUpdate bool
}

// Insert adds rows. DoNothing and DoUpdate hold the action of ON CONFLICT.
type Insert struct {
	Table     string
	Columns   []string
	Rows      [][]Expr
	DoNothing bool
	DoUpdate  []Assignment
	Returning []Item
}

// Update changes rows.
type Update struct {
	Table     string
	Set       []Assignment
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

// Rollback ends a transaction block and discards its changes.
type Rollback struct{}

// SetTransaction changes the access mode of the current transaction or, with
// Session set, of the session's later transactions.
type SetTransaction struct {
	Access  Access
	Session bool
}

// Set changes a session setting. With Local set, the change lasts until the
// transaction ends.
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

// Deallocate drops a prepared statement, or all of them when Name is empty.
type Deallocate struct{ Name string }

// Listen is LISTEN or UNLISTEN, which are accepted without effect. Tag is the
// command tag of the answer.
type Listen struct{ Tag string }

// Hemlock is a HEMLOCK command of the endpoint contract. Words are the words
// after HEMLOCK in order; the first is in upper case.
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

// Error is the error that a client receives: SQLSTATE, message and detail.
type Error struct{ Code, Message, Detail string }

func (e *Error) Error() string { return e.Code + ": " + e.Message }

// SQLSTATE codes of the parser's errors: syntax_error, feature_not_supported and
// undefined_object.
const (
	CodeSyntax          = "42601"
	CodeUnsupported     = "0A000"
	CodeUndefinedObject = "42704"
)
