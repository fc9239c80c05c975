"""Least squares with a few unknowns, without a numerical library in the memory of an instance."""

Vector = list[float]


def solve_with_inverse(
    products: list[Vector], right: Vector, ridge: float
) -> tuple[Vector, list[Vector]]:
    """Solve the normal equations of a ridge regression.

    Parameters
    ----------
    products, right
        Sums of products of the inputs (n by n, positive semidefinite), and of the inputs with the
        output (n).
    ridge
        Added to the diagonal; positive, so that a solution exists.

    Returns
    -------
    tuple
        The coefficients, and the inverse of the matrix that was solved.
    """
    size = len(products)
    rows = [
        [value + ridge * (i == j) for j, value in enumerate(row)]
        + [float(i == j) for j in range(size)]
        for i, row in enumerate(products)
    ]
    # The matrix is positive definite, so the pivots on the diagonal are positive.
    for i in range(size):
        pivot = rows[i][i]
        rows[i] = [value / pivot for value in rows[i]]
        for k in range(size):
            factor = rows[k][i]
            if k != i and factor:
                rows[k] = [a - factor * b for a, b in zip(rows[k], rows[i], strict=True)]
    inverse = [row[size:] for row in rows]
    return [sum(a * b for a, b in zip(row, right, strict=True)) for row in inverse], inverse
